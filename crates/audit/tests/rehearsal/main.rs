//! The audit reports each violated rule of a doctored record, and nothing in the sound one.
mod budgets;
mod data;
mod delivery;
mod nodes;
mod ordering;
mod pinned_capacity;
mod pinned_verdicts;
mod record;
mod seeded_record;
mod site;
