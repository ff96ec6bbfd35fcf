//! Identifies the client account of a request, and checks at each send that its key is still valid.

use std::sync::Arc;
use std::time::Duration;

use trackfront_core::accounts::ClientAccount;
use trackfront_core::serving::config::{Authentication, Route, ServingConfig};
use trackfront_core::serving::request::{Refusal, RequestInfo};
use trackfront_core::units::Moment;

use super::{Attempts, Job, STARTING_RETRY_AFTER};
use crate::serving::node::ServingNode;

/// The bounds of the retry-after time at a box that cannot tell whether keys are still valid.
/// Another box may know, and the client may reach it with its next connection.
const NOT_CURRENT_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));

/// Returns the client account of a request, before its body is read; `None` if the request needs no
/// key.
pub fn identify(
    node: &ServingNode,
    route: &Route,
    info: &RequestInfo,
) -> Result<Option<Arc<ClientAccount>>, Refusal> {
    let knows_keys = node.has_current_keys(node.now());
    let config = node.config.load();
    let config = config.as_ref().ok_or(Refusal::NotReady { retry_after: STARTING_RETRY_AFTER })?;
    match holder(config, route, info) {
        Authentication::Anonymous => Ok(None),
        Authentication::Account(_) | Authentication::UnknownKey if !knows_keys => {
            match route.public {
                true => {
                    log_unchecked_key(node, info);
                    Ok(None)
                }
                false => Err(not_current(node)),
            }
        }
        Authentication::Account(account) => Ok(Some(account)),
        Authentication::UnknownKey => Err(Refusal::UnknownKey),
    }
}

/// Logs that a request on a public route is served without the account of its key, which may have
/// been revoked.
fn log_unchecked_key(node: &ServingNode, info: &RequestInfo) {
    let age = node.config_freshness.age(node.now());
    let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
    log::info!(request:% = info.id, age_ms; "key not checked");
}

fn holder(config: &ServingConfig, route: &Route, info: &RequestInfo) -> Authentication {
    config.authenticate(route, info.key.as_ref())
}

/// Returns the refusal for a request whose key may have been revoked. The best estimate of how much
/// longer the configuration stays stale is how long it has been stale so far.
fn not_current(node: &ServingNode) -> Refusal {
    let terms = node.settings.load().promises.keys();
    let stale = node.config_freshness.age(node.now()).zip(terms);
    let stale = stale.map(|(age, terms)| age.saturating_sub(terms.max_age()));
    let (least, most) = NOT_CURRENT_RETRY_AFTER;
    Refusal::NotCurrent { retry_after: stale.unwrap_or(STARTING_RETRY_AFTER).clamp(least, most) }
}

impl Job {
    /// Returns whether the key still belongs to its account at `now`, by accounts known to be
    /// current. It must be the last check before each send, since the process may have stood still.
    pub(super) fn is_key_valid(&self, now: Moment) -> bool {
        let Some(account) = &self.account else {
            return true;
        };
        if !self.node.has_current_keys(now) {
            return false;
        }
        let config = self.node.config.load();
        let holder = config.as_ref().map(|config| holder(config, &self.route, &self.info));
        matches!(holder, Some(Authentication::Account(holder)) if holder.name == account.name)
    }

    /// Refuses a request whose key is no longer known to be valid.
    pub(super) fn check_key(&self, attempts: &Attempts) -> Option<Refusal> {
        let now = self.node.now();
        if self.is_key_valid(now) {
            return None;
        }
        Some(match attempts.may_have_run {
            Some(cause) => Refusal::ServerFailed(cause),
            None if self.node.has_current_keys(now) => Refusal::UnknownKey,
            None => not_current(&self.node),
        })
    }
}
