//! Limits of accounts that are shared by many boxes, in simulated time.

mod quota {
    mod coordinator;
    mod random;
    mod simulation;
    mod strategies;
}
