//! What each process of the program mallowseam opens.
