//! Tests of the decisions behind the request pipeline.

mod serving {
    mod support;

    mod accounts;
    mod adapter_use;
    mod adapter_wait;
    mod admission;
    mod affinity;
    mod choice;
    mod cold;
    mod config;
    mod coordinated_choice;
    mod coordinated_load;
    mod crashes;
    mod crashes_random;
    mod crashing_parts;
    mod demand;
    mod directory;
    mod directory_listed;
    mod directory_random;
    mod directory_restored;
    mod events;
    mod fair_share;
    mod figures;
    mod forecast;
    mod halls;
    mod key_freshness;
    mod limited;
    mod load;
    mod memory_budget;
    mod notices;
    mod orders;
    mod orders_random;
    mod overload;
    mod permits;
    mod planner;
    mod planner_random;
    mod reach;
    mod refusal_retries;
    mod relays;
    mod retry_budget;
    mod room;
    mod sampling;
    mod saturation;
    mod store_version;
    mod stream_origins;
    mod stream_pauses;
    mod urgency;
}
