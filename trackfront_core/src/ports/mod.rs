//! The ports: traits for everything that the core needs from outside.
//!
//! The types of each trait express what may be slow, lost, late, repeated or unknown, so that a
//! caller cannot treat "unknown" as "failed".

pub mod box_list;
pub mod clock;
pub mod engine;
pub mod knowledge;
pub mod objects;
pub mod peers;
pub mod plain;
pub mod table;

pub use box_list::{BoxList, BoxListError, ListedBox, ListedRole, ListedState};
pub use clock::Clock;
pub use engine::{
    CacheEvent, CacheEvents, Engine, EngineError, Frame, FrameBody, FrameStream, GenerateError,
    GenerateRequest, KvBlob, LoadReport, OrderReply, ReportedItem, ReportedState, StartFrom,
};
pub use knowledge::{Feed, Knowledge, Listing, OperatorUpdate, StoredConfig};
pub use objects::{ObjectError, Objects};
pub use peers::{PeerError, Peers};
pub use plain::{PlainCall, PlainError, PlainReply, PlainService};
pub use table::{CommitOutcome, Expect, Row, RowKey, Table, TableError, Transaction, Write};
