//! Several processes of the program, and faults between them.
mod cold_start;
mod rules;
mod stage;
mod storms;
mod view;
mod views;
