//! The policy keys, which every level may set and lower levels inherit.

use std::sync::Arc;

use serde::Deserialize;
use toml::Spanned;

use super::error::line_of;

/// A file of the tree, as the origin of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The path relative to the tree's folder.
    pub path: Arc<str>,
}

/// A value with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sourced<T> {
    /// The value.
    pub value: T,
    /// The file that set it; `None` for the built-in default.
    pub file: Option<Arc<str>>,
    /// The line that set it, counted from one.
    pub line: usize,
}

/// The effective value of a key as text, with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedKey {
    /// The key.
    pub key: &'static str,
    /// The value as JSON, which is valid TOML for all types of keys.
    pub value: String,
    /// The file that set it; `None` for the built-in default.
    pub file: Option<Arc<str>>,
    /// The line that set it, counted from one.
    pub line: usize,
    /// The description of the key.
    pub about: &'static str,
}

/// Generates the `[policy]` table, the effective policy and its explanation from one list of keys.
///
/// The doc comment of a key is also its description in [`ExplainedKey::about`].
macro_rules! policy_keys {
    ($($(#[doc = $about:literal])* $key:ident: $type:ty = $default:expr;)*) => {
        /// The `[policy]` table of one file.
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct PolicyTable {
            $($(#[doc = $about])* pub $key: Option<Spanned<$type>>,)*
        }

        /// The effective policy at one level.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[doc = $about])* pub $key: Sourced<$type>,)*
        }

        impl Policy {
            /// The names of all keys.
            pub const KEYS: &'static [&'static str] = &[$(stringify!($key)),*];

            /// Returns the built-in defaults.
            pub fn built_in() -> Policy {
                Policy {
                    $($key: Sourced { value: $default, file: None, line: 0 },)*
                }
            }

            /// Returns the policy of a lower level, where the values of `table` override the
            /// inherited ones. `path` and `text` are of the file that has the table.
            pub fn inherit(&self, table: &PolicyTable, path: &Arc<str>, text: &str) -> Policy {
                Policy {
                    $($key: match &table.$key {
                        Some(spanned) => Sourced {
                            value: spanned.get_ref().clone(),
                            file: Some(path.clone()),
                            line: line_of(text, spanned.span().start),
                        },
                        None => self.$key.clone(),
                    },)*
                }
            }

            /// Returns all keys with their values and origins.
            pub fn explain(&self) -> Vec<ExplainedKey> {
                vec![$(ExplainedKey {
                    key: stringify!($key),
                    value: serde_json::to_string(&self.$key.value).unwrap_or_default(),
                    file: self.$key.file.clone(),
                    line: self.$key.line,
                    about: concat!($($about),*).trim_ascii(),
                }),*]
            }
        }
    };
}

policy_keys! {
    /// Milliseconds within which the first token has to come.
    first_token_ms: u64 = 520;
    /// Milliseconds between two tokens.
    token_gap_ms: u64 = 76;
    /// Milliseconds within which the whole answer has to come, unless the caller asks for less.
    deadline_ms: u64 = 30_000;
    /// The priority at the engine, 0 to 9; a larger number goes first.
    priority: u8 = 5;
    /// The callers that may use it; `*` stands for all that the root names.
    callers: Vec<String> = vec!["*".into()];
    /// The largest body that is taken, in KiB.
    max_body_kib: u64 = 1_024;
    /// Memory on each accelerator that is kept for the KV cache, in MiB.
    kv_floor_mib: u64 = 2_048;
    /// How many engines of a service may be lost with everything still fitting.
    spare_engines: u64 = 1;
    /// How many further backend servers a request may be sent to after the first.
    max_retries: u64 = 2;
    /// Minutes for which a key of a call that may run once is remembered, at least.
    claim_keep_min: u64 = 360;
    /// How many loads a service may have under way at once: its share of the weight store.
    max_loads: u64 = 16;
    /// How much attainment a move must earn, in requests met for each move.
    move_cost: u64 = 50;
}
