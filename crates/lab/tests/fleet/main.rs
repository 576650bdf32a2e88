//! Several processes of the program, and faults between them.
mod cold_start;
mod ready;
mod rules;
mod stage;
mod storms;
mod view;
mod views;
