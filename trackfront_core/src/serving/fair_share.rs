//! The shares of client accounts in the recent use of one engine.
//!
//! While an engine is short, an account that used more than an equal part of it lets the others go first. Use is counted
//! in tokens and halves every few seconds, so that a share is right again soon after a burst or a restart.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::Moment;

/// The time in which recorded tokens halve.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// How long an account counts as one of those that use the engine.
const ACTIVE_FOR: Duration = Duration::from_secs(10);

/// The factor on the equal part up to which an account is within its share: the sizes of single requests differ as much.
const TOLERANCE: f64 = 1.5;

/// The accounts that are kept; beyond, the one with the fewest tokens is dropped.
const MAX_ACCOUNTS: usize = 256;

/// The recent tokens of one account.
#[derive(Clone, Copy, Debug)]
struct RecentTokens {
    tokens: f64,
    at: Moment,
}

impl RecentTokens {
    fn decayed(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.tokens * 0.5f64.powf(half_lives)
    }

    fn is_active(&self, now: Moment) -> bool {
        now.since(self.at) < ACTIVE_FOR
    }
}

/// The recent tokens of client accounts at one engine, by the accounts' hashes.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    accounts: HashMap<u32, RecentTokens>,
}

impl FairShare {
    /// Records that an account declared a request of `tokens` tokens.
    pub fn record(&mut self, account: u32, tokens: u32, now: Moment) {
        let before = self.accounts.get(&account).map_or(0.0, |recent| recent.decayed(now));
        let recent = RecentTokens { tokens: before + f64::from(tokens), at: now };
        self.accounts.insert(account, recent);
        if self.accounts.len() > MAX_ACCOUNTS {
            self.drop_least(now);
        }
    }

    /// Returns whether an account used more than its share, with a tolerance. An account alone never did.
    pub fn is_over_share(&self, account: u32, now: Moment) -> bool {
        let Some(own) = self.accounts.get(&account).filter(|recent| recent.is_active(now)) else {
            return false;
        };
        let active = self.accounts.values().filter(|recent| recent.is_active(now));
        let (count, total) = active
            .fold((0u32, 0.0), |(count, total), recent| (count + 1, total + recent.decayed(now)));
        count >= 2 && own.decayed(now) > TOLERANCE * total / f64::from(count)
    }

    /// Drops accounts that no longer use the engine.
    pub fn forget_old(&mut self, now: Moment) {
        self.accounts.retain(|_, recent| recent.is_active(now));
    }

    fn drop_least(&mut self, now: Moment) {
        let by_tokens = |(_, recent): &(&u32, &RecentTokens)| recent.decayed(now);
        let least = self.accounts.iter().min_by(|a, b| by_tokens(a).total_cmp(&by_tokens(b)));
        if let Some(account) = least.map(|(account, _)| *account) {
            self.accounts.remove(&account);
        }
    }
}
