//! Three ways to keep one limit over many boxes, on the same demand: even shares, shares that follow the
//! demand that boxes tell each other, and keepers that grant.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::ids::{AccountName, NodeId};
use trackfront_core::limits::{CallerLimit, CallerLimits};
use trackfront_core::quota::AccountId;
use trackfront_core::units::Moment;

use super::world::{Keepers, Net, Run, TestAccount, Way, accounts};

const BOXES: usize = 90;

/// Units a second of all accounts together.
const USUAL: f64 = 1_400_000.0;

/// Each box has an even part of each limit.
struct Even {
    limits: HashMap<AccountId, AccountLimit>,
    levels: HashMap<(usize, AccountId), (f64, Moment)>,
    boxes: f64,
}

impl Way for Even {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        let limit = self.limits[&account];
        let (per_s, burst) = (limit.per_s / self.boxes, limit.burst / self.boxes);
        let (level, since) = self.levels.entry((at, account)).or_insert((burst, now));
        *level = (*level + per_s * now.since(*since).as_secs_f64()).min(burst);
        *since = now;
        let passes = *level >= f64::from(units).min(burst);
        if passes {
            *level -= f64::from(units);
        }
        Some(passes)
    }

    fn step(&mut self, _: &mut Net, _: Moment) -> Vec<(AccountId, u32)> {
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

/// Shares follow the demand, told each half second.
struct Following {
    limits: HashMap<AccountId, AccountLimit>,
    boxes: Vec<CallerLimits>,
    names: HashMap<AccountId, AccountName>,
    told_at: Moment,
}

impl Way for Following {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        let limit = self.limits[&account];
        let limit = CallerLimit { requests_per_s: None, tokens_per_s: Some(limit.per_s) };
        let name = &self.names[&account];
        let taken = self.boxes[at].take(name, limit, f64::from(units), self.boxes.len(), now);
        Some(taken.is_ok())
    }

    fn step(&mut self, _: &mut Net, now: Moment) -> Vec<(AccountId, u32)> {
        if now.since(self.told_at) < Duration::from_millis(500) {
            return Vec::new();
        }
        self.told_at = now;
        for from in 0..self.boxes.len() {
            let told = self.boxes[from].demand(now);
            let name = NodeId::from(from.to_string());
            for to in (0..self.boxes.len()).filter(|to| *to != from) {
                self.boxes[to].heard(&name, &told, now);
            }
        }
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

fn limits(accounts: &[TestAccount]) -> HashMap<AccountId, AccountLimit> {
    accounts.iter().map(|account| (account.id, account.limit)).collect()
}

/// A usual time, then one account sends six times its usual, then its clients reach other boxes.
fn play<W: Way>(way: W) -> Run<W> {
    let accounts = accounts(USUAL, BOXES / 3);
    let mut run = Run::new(accounts, Net::new(BOXES, 7), way);
    for step in 0..2_400 {
        match step {
            800 => run.account(1).demand *= 6.0,
            1_600 => run.account(1).demand /= 6.0,
            2_000 => run.move_clients(),
            _ => {}
        }
        run.step();
    }
    run
}

#[test]
fn keepers_pass_what_one_counter_would_where_even_and_following_shares_refuse_it() {
    let all = accounts(USUAL, BOXES / 3);
    let even = Even { limits: limits(&all), levels: HashMap::new(), boxes: BOXES as f64 };
    let names = (0..all.len()).map(|rank| AccountName::from(format!("account-{rank}")));
    let following = Following {
        limits: limits(&all),
        boxes: (0..BOXES).map(|_| CallerLimits::default()).collect(),
        names: names.map(|name| (AccountId::of(&name), name)).collect(),
        told_at: Moment::default(),
    };
    let even = play(even);
    let following = play(following);
    let keepers = play(Keepers::new(&all, BOXES));
    for (name, part, worst) in [
        ("even shares", even.passed_part(), even.worst_part()),
        ("shares that follow demand", following.passed_part(), following.worst_part()),
        ("keepers", keepers.passed_part(), keepers.worst_part()),
    ] {
        println!("{name}: passed {part:.3} of what one counter would, largest window {worst:.3}");
    }
    assert!(keepers.worst_part() <= 1.0);
    assert!(keepers.passed_part() > 0.97, "{}", keepers.passed_part());
    assert!(even.passed_part() < 0.9, "{}", even.passed_part());
    assert!(following.passed_part() < keepers.passed_part(), "{}", following.passed_part());
}
