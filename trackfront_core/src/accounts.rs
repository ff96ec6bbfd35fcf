//! Client accounts with their keys, priorities, limits and regions.
//!
//! Only hashes of keys are stored, exchanged and compared. Log lines, errors and metrics contain neither
//! keys nor hashes, but the names of accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{AccountName, RegionName};

/// The hash of a client's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Returns the hash as hexadecimal digits, as in the tree.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// The unit of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and the maximum tokens of its answer.
    Tokens {
        /// The units of a request that states no tokens.
        plain: u32,
    },
}

/// The limit of an account, over all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// The unit.
    pub unit: LimitUnit,
    /// The rate in units per second.
    pub per_s: f64,
    /// The burst in units.
    pub burst: f64,
}

impl AccountLimit {
    /// Returns the units of a request. `tokens` is `None` if it states none.
    pub fn units(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)) as f64,
        }
    }
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// The name, which is sent to backend servers.
    pub name: AccountName,
    /// The hashes of its keys, possibly none.
    pub keys: Vec<KeyHash>,
    /// The priority of its requests; `None` for that of their route.
    pub priority: Option<u8>,
    /// Its limit; `None` for no limit.
    pub limit: Option<AccountLimit>,
    /// The regions in which its requests may be served; `None` for all.
    pub regions: Option<BTreeSet<RegionName>>,
}

/// Why accounts are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AccountError {
    /// Two accounts have the same name.
    #[error("two client accounts are named {0}; give each its own name")]
    SameName(AccountName),
    /// Two accounts have the same key.
    #[error("the client accounts {first} and {second} share a key; give each keys of its own")]
    SharedKey {
        /// One account.
        first: AccountName,
        /// The other.
        second: AccountName,
    },
    /// A limit is negative or not finite.
    #[error("{field} of the client account {account} is {value}; give it a finite number from 0")]
    BadLimit {
        /// The account.
        account: AccountName,
        /// The invalid field.
        field: &'static str,
        /// The value.
        value: String,
    },
}

/// All accounts of a configuration, indexed by name and by key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<ClientAccount>", into = "Vec<ClientAccount>")]
pub struct Accounts {
    by_name: BTreeMap<AccountName, Arc<ClientAccount>>,
    by_key: HashMap<KeyHash, Arc<ClientAccount>>,
}

impl Accounts {
    /// Validates and indexes accounts.
    pub fn new(accounts: Vec<ClientAccount>) -> Result<Self, AccountError> {
        let mut all = Self::default();
        for account in accounts {
            check_limit(&account)?;
            let account = Arc::new(account);
            for key in &account.keys {
                let previous = all.by_key.insert(*key, account.clone());
                if let Some(first) = previous.filter(|previous| previous.name != account.name) {
                    let (first, second) = (first.name.clone(), account.name.clone());
                    return Err(AccountError::SharedKey { first, second });
                }
            }
            if let Some(same) = all.by_name.insert(account.name.clone(), account) {
                return Err(AccountError::SameName(same.name.clone()));
            }
        }
        Ok(all)
    }

    /// Returns the account that a key belongs to.
    pub fn by_key(&self, key: &KeyHash) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the account with a name.
    pub fn by_name(&self, name: &AccountName) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// Returns all accounts in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_name.values()
    }
}

impl TryFrom<Vec<ClientAccount>> for Accounts {
    type Error = AccountError;

    fn try_from(accounts: Vec<ClientAccount>) -> Result<Self, AccountError> {
        Accounts::new(accounts)
    }
}

impl From<Accounts> for Vec<ClientAccount> {
    fn from(accounts: Accounts) -> Self {
        accounts.all().map(|account| ClientAccount::clone(account)).collect()
    }
}

fn check_limit(account: &ClientAccount) -> Result<(), AccountError> {
    let Some(limit) = account.limit else {
        return Ok(());
    };
    let fields = [("the rate", limit.per_s), ("the burst", limit.burst)];
    let is_bad = |value: f64| !(value.is_finite() && value >= 0.0);
    match fields.into_iter().find(|(_, value)| is_bad(*value)) {
        None => Ok(()),
        Some((field, value)) => {
            let (account, value) = (account.name.clone(), value.to_string());
            Err(AccountError::BadLimit { account, field, value })
        }
    }
}
