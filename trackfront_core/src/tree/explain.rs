//! Explains policy values: the effective value of each key and the level that set it.

use super::policy::{ExplainedKey, Policy};
use super::{ServiceKind, Tree};

impl Tree {
    /// Returns the effective policy at `path`: `REGION/SERVICE`, `REGION/SERVICE/MODEL` or
    /// `REGION/SERVICE/MODEL/ADAPTER`.
    pub fn policy_at(&self, path: &str) -> Option<&Policy> {
        let mut parts = path.trim_matches('/').split('/');
        let region = self.regions.get(&parts.next()?.into())?;
        let service = region.services.get(&parts.next()?.into())?;
        let Some(model) = parts.next() else {
            return Some(&service.policy);
        };
        let ServiceKind::Engines { models } = &service.kind else {
            return None;
        };
        let model = models.get(&model.into())?;
        let Some(adapter) = parts.next() else {
            return Some(&model.policy);
        };
        let adapter = model.adapters.get(&adapter.into())?;
        parts.next().is_none().then_some(&adapter.policy)
    }

    /// Explains all policy keys at `path`, or only `key`. Returns `None` if nothing is at `path`.
    pub fn explain(&self, path: &str, key: Option<&str>) -> Option<Vec<ExplainedKey>> {
        let explained = self.policy_at(path)?.explain();
        Some(explained.into_iter().filter(|e| key.is_none_or(|key| key == e.key)).collect())
    }
}
