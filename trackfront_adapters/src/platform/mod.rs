//! The platform's service over HTTP.

mod box_list;
mod objects;
mod table;

use std::time::Duration;

pub use box_list::HttpBoxList;
pub use objects::HttpObjects;
pub use table::HttpTable;

/// How long the platform may take to answer before the reply counts as lost.
const ANSWER_TIME: Duration = Duration::from_secs(2);
