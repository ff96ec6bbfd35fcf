//! Clients of the platform's services over HTTP.

mod box_list;
mod objects;
mod table;

use std::time::Duration;

pub use box_list::HttpBoxList;
pub use objects::HttpObjects;
pub use table::HttpTable;

/// The timeout after which a reply counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
