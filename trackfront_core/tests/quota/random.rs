//! Random simulations of limits: boxes are partitioned, killed, frozen and added, demand jumps, and limits change.
//!
//! Guards against accounts that get more than their limit allows in some window, because two coordinators count the
//! same quota.

use rand::RngExt;

use super::simulation::{CoordinatedQuotas, LimitStrategy, Network, Simulation, accounts};

/// The default number of steps of a simulation; `QUOTA_STEPS` overrides it.
const STEPS: u64 = 3_000;

/// The number of accounts.
const ACCOUNTS: usize = 16;

fn steps() -> u64 {
    std::env::var("QUOTA_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(STEPS)
}

fn simulation(seed: u64, boxes: usize, per_s: f64) -> Simulation<CoordinatedQuotas> {
    let accounts = accounts(per_s, boxes / 2);
    let network = Network::new(boxes, seed);
    let strategy = CoordinatedQuotas::new(&accounts, boxes);
    Simulation::new(accounts, network, strategy)
}

/// Injects a fault, or changes demand or a limit.
fn inject_fault(run: &mut Simulation<CoordinatedQuotas>) {
    let boxes = run.network.up.len();
    let kind = run.network.rng.random_range(0..10);
    let is_affected =
        |run: &mut Simulation<CoordinatedQuotas>| run.network.rng.random_range(0..3) == 0;
    match kind {
        // A third of the boxes is partitioned from the rest, as one group or each alone.
        0 | 1 => {
            for at in 0..boxes {
                let is_cut_off = is_affected(run);
                run.network.groups[at] = match (is_cut_off, kind) {
                    (false, _) => 0,
                    (true, 0) => 1,
                    (true, _) => at as u32 + 2,
                };
            }
        }
        // A third is killed or frozen.
        2 => (0..boxes).for_each(|at| run.network.up[at] = !is_affected(run)),
        3 => (0..boxes).for_each(|at| run.network.frozen[at] = is_affected(run)),
        4 => run.network.lost_percent = 20,
        // The demand of one account jumps.
        5 | 6 => {
            let index = run.network.rng.random_range(0..4);
            run.account(index).demand *= 6.0;
        }
        7 => run.reconnect_clients(),
        8 => {
            // A limit is raised and stays, since a lower limit would apply one window later.
            let index = run.network.rng.random_range(0..ACCOUNTS);
            let account = run.account(index);
            account.limit.per_s *= 1.5;
            let (id, limit) = (account.id, account.limit);
            run.strategy.set_limit(id, limit);
        }
        _ => {
            run.network.add_box();
            run.strategy.add_box();
        }
    }
}

/// Ends all faults and restores the demand.
fn clear_faults(run: &mut Simulation<CoordinatedQuotas>, usual_demand: &[f64]) {
    run.network.lost_percent = 0;
    for at in 0..run.network.up.len() {
        run.network.groups[at] = 0;
        run.network.frozen[at] = false;
        if !run.network.up[at] {
            run.network.up[at] = true;
            let now = run.now;
            run.strategy.restart(at, now);
        }
    }
    for (index, demand) in usual_demand.iter().enumerate() {
        run.account(index).demand = *demand;
    }
}

fn run_randomly(seed: u64, boxes: usize, per_s: f64) {
    let mut run = simulation(seed, boxes, per_s);
    let usual_demand: Vec<f64> = (0..ACCOUNTS).map(|index| run.account(index).demand).collect();
    let mut next_event = 300;
    for step in 0..steps() {
        if step == next_event {
            match run.network.rng.random_range(0..3) {
                0 => clear_faults(&mut run, &usual_demand),
                _ => inject_fault(&mut run),
            }
            next_event += run.network.rng.random_range(20..600);
        }
        run.step();
        let fraction = run.max_window_fraction();
        assert!(
            fraction <= 1.0,
            "seed {seed}, step {step}: a window has {fraction:.3} of its bound"
        );
    }
    println!(
        "seed {seed}, {boxes} boxes, {} steps: largest window {:.3} of its bound, passed {:.3} of \
         what a central counter would have, {} waits without a coordinator, {:.1} messages per box \
         and second",
        steps(),
        run.max_window_fraction(),
        run.passed_fraction(),
        run.strategy.unanswered_waits,
        run.strategy.messages as f64 / run.now.0.as_secs_f64() / boxes as f64,
    );
}

#[test]
fn no_window_exceeds_its_bound_with_many_boxes() {
    run_randomly(1, 300, 1_400_000.0);
}

#[test]
fn no_window_exceeds_its_bound_with_few_boxes() {
    for seed in 2..6 {
        run_randomly(seed, 20, 900_000.0);
    }
}
