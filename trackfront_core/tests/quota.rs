//! Limits of accounts over many boxes, in simulated time.

mod quota {
    mod bound;
    mod keeper;
    mod ways;
    mod world;
}
