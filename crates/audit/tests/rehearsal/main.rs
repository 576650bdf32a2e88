//! Audit of hosts behind iSCSI on constructed traces. The audit could miss a violation, or report one in a valid trace.
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
