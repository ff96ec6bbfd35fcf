//! The units that a request takes from its account's limit.
//!
//! They are taken right before a send, since a grant expires soon, and are returned if the request
//! didn't run.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::quota::AccountId;
use trackfront_core::quota::share::WaitOutcome;
use trackfront_core::serving::request::Refusal;

use super::{Attempts, Job};
use crate::serving::node::ServingNode;

/// The maximum wait for units: a few requests to a coordinator that is gone, and one to the next
/// coordinator.
const MAX_UNITS_WAIT: Duration = Duration::from_millis(600);

/// The wait for units after which the server is chosen anew.
const RECHOOSE_AFTER_WAIT: Duration = Duration::from_millis(40);

/// Units that were taken but not consumed. Dropping them returns them to the account.
pub struct QuotaUnits {
    node: Arc<ServingNode>,
    account: AccountId,
    units: u32,
}

impl QuotaUnits {
    /// Consumes the units, since the request may have run.
    pub fn consume(mut self) {
        self.units = 0;
    }
}

impl Drop for QuotaUnits {
    fn drop(&mut self) {
        if self.units > 0 {
            self.node.quotas.return_units(self.account, self.units);
        }
    }
}

/// The result of taking units.
pub enum UnitsTaken {
    /// The units were granted at once, or none are needed.
    Immediate(Option<QuotaUnits>),
    /// The units were granted after a wait, in which the state of the servers may have changed.
    AfterWait(Option<QuotaUnits>),
}

impl Job {
    /// Takes the units for one run of the request, unless `attempts` already holds them.
    pub(super) async fn acquire_units(
        &self,
        attempts: &mut Attempts,
    ) -> Result<UnitsTaken, Refusal> {
        if let Some(units) = attempts.units.take() {
            return Ok(UnitsTaken::Immediate(Some(units)));
        }
        let began = self.node.now();
        let units = self.request_units().await;
        let refused = |refusal| match attempts.may_have_run {
            Some(cause) => Refusal::ServerFailed(cause),
            None => refusal,
        };
        let units = units.map_err(refused)?;
        Ok(match self.node.now().since(began) < RECHOOSE_AFTER_WAIT {
            true => UnitsTaken::Immediate(units),
            false => UnitsTaken::AfterWait(units),
        })
    }

    /// Takes the units for one run of the request; `None` if its account has no limit.
    pub async fn request_units(&self) -> Result<Option<QuotaUnits>, Refusal> {
        let Some(account) = &self.account else {
            return Ok(None);
        };
        let Some(limit) = &account.limit else {
            return Ok(None);
        };
        let units = limit.units(self.info.max_total_tokens).min(f64::from(u32::MAX)) as u32;
        let id = AccountId::of(&account.name);
        let max_wait =
            self.answer_by.saturating_duration_since(self.request_time()).min(MAX_UNITS_WAIT);
        let outcome = self.node.quotas.take(id, units, self.node.now(), max_wait).await;
        let (refusal, cause, wait) = match outcome {
            WaitOutcome::Granted => {
                return Ok(Some(QuotaUnits { node: self.node.clone(), account: id, units }));
            }
            WaitOutcome::LimitReached { retry_after } => {
                let refusal = Refusal::LimitReached { account: account.name.clone(), retry_after };
                (refusal, "the limit is reached", retry_after)
            }
            WaitOutcome::NoCoordinator { retry_after } => {
                let cause = "no box answers for its account's limit";
                (Refusal::NoServer { cause, retry_after }, cause, retry_after)
            }
        };
        let coordinator =
            self.node.quotas.coordinator(id).map(|id| Ipv4Addr::from_bits(id.0).to_string());
        let coordinator = coordinator.unwrap_or_default();
        let (request, wait_ms) = (&self.info.id, wait.as_millis() as u64);
        let (account, config) = (account.name.as_str(), self.config.version);
        let (per_s, burst) = (limit.per_s, limit.burst);
        log::info!(request:%, account, units, per_s, burst, keeper = coordinator, wait_ms, config, cause; "units refused");
        Err(refusal)
    }
}
