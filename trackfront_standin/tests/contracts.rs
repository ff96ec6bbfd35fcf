//! The contracts of the ports, each run against the adapter over HTTP or h2 and against the
//! stand-in in memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::watch;
use trackfront_adapters::engine::HttpEngine;
use trackfront_adapters::http_client::HttpClient;
use trackfront_adapters::key::DeploymentKey;
use trackfront_adapters::peers::{H2Peers, serve_peers};
use trackfront_adapters::platform::{HttpObjects, HttpTable};
use trackfront_core::ids::{Fence, ItemKey, Revision};
use trackfront_core::order::{Action, Order};
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{
    CommitOutcome, Engine, Expect, Objects, OrderReply, PeerError, Peers, RowKey, Table,
    Transaction, Write,
};
use trackfront_core::units::Mib;
use trackfront_standin::control::PlatformFaults;
use trackfront_standin::engine::{EngineConfig, EngineFaults, EngineStandin, WeightStore};
use trackfront_standin::objects::ObjectStandin;
use trackfront_standin::table::{TableLimits, TableStandin};

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port is free")
}

fn txn(id: &str, key: &str, expect: Expect, value: Option<&str>) -> Transaction {
    let value = value.map(|value| Bytes::from(value.to_string()));
    Transaction { id: id.into(), writes: vec![Write { key: RowKey(key.into()), expect, value }] }
}

async fn version(table: &dyn Table, key: &str) -> Option<u64> {
    table.read(&RowKey(key.into())).await.expect("it answers").map(|row| row.version.number())
}

/// What every table has to do. `standin` sets the faults.
async fn table_contract(table: &dyn Table, standin: &TableStandin) {
    let write = txn("t1", "a/1", Expect::Absent, Some("1"));
    assert_eq!(table.commit(&write).await, CommitOutcome::Applied);
    assert!(matches!(table.commit(&write).await, CommitOutcome::Conflict { .. }));
    assert_eq!(version(table, "a/1").await, Some(1));
    // A deleted row is absent, and its version goes on growing.
    let delete = txn("t2", "a/1", Expect::Version(1.into()), None);
    assert_eq!(table.commit(&delete).await, CommitOutcome::Applied);
    assert_eq!(version(table, "a/1").await, None);
    let again = txn("t3", "a/1", Expect::Absent, Some("2"));
    assert_eq!(table.commit(&again).await, CommitOutcome::Applied);
    assert_eq!(version(table, "a/1").await, Some(3));
    // All writes of a transaction apply, or none.
    let mut both = txn("t4", "a/2", Expect::Absent, Some("x"));
    both.writes.extend(txn("t4", "a/1", Expect::Version(1.into()), Some("x")).writes);
    assert!(matches!(table.commit(&both).await, CommitOutcome::Conflict { .. }));
    assert_eq!(version(table, "a/2").await, None);
    assert_eq!(table.scan("a/").await.expect("it answers").len(), 1);
    // A reply that is lost after the effect is unknown, and is settled as applied.
    standin.faults.set(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let lost = txn("t5", "b", Expect::Absent, Some("5"));
    assert!(matches!(table.commit(&lost).await, CommitOutcome::Unknown(_)));
    standin.faults.set(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let settled = txn("t6", "c", Expect::Absent, Some("6"));
    assert_eq!(commit_settled(table, &settled, 3).await, CommitOutcome::Applied);
    // Another writer's row is a conflict, also after a lost reply.
    standin.faults.set(PlatformFaults::default());
    let other = txn("t7", "c", Expect::Absent, Some("7"));
    assert!(matches!(commit_settled(table, &other, 3).await, CommitOutcome::Conflict { .. }));
    // While the table is down nothing is applied that was said not to be.
    standin.faults.set(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert!(table.read(&RowKey("c".into())).await.is_err());
    standin.faults.set(PlatformFaults::default());
    assert_eq!(version(table, "c").await, Some(1));
}

#[tokio::test]
async fn the_table_keeps_its_contract() {
    let standin = TableStandin::new(TableLimits::default());
    table_contract(&standin, &standin).await;
    let standin = TableStandin::new(TableLimits::default());
    let listening = standin.start(listener().await).expect("it starts");
    let table = HttpTable::new(HttpClient::default(), listening.address.to_string());
    table_contract(&table, &standin).await;
}

async fn objects_contract(objects: &dyn Objects, standin: &ObjectStandin) {
    for name in ["x/1", "x/2", "y/1"] {
        objects.put(name, Bytes::from(name)).await.expect("it is written");
    }
    assert_eq!(objects.get("x/2").await, Ok(Some(Bytes::from("x/2"))));
    assert_eq!(objects.get("x/9").await, Ok(None));
    let names = objects.list("x/", "", 10).await;
    assert_eq!(names, Ok(vec!["x/1".to_string(), "x/2".to_string()]));
    assert_eq!(objects.list("x/", "x/1", 10).await, Ok(vec!["x/2".to_string()]));
    standin.faults.set(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    assert!(objects.put("z", Bytes::from("z")).await.is_err());
    assert_eq!(objects.get("z").await, Ok(Some(Bytes::from("z"))));
}

#[tokio::test]
async fn the_object_store_keeps_its_contract() {
    let standin = ObjectStandin::default();
    objects_contract(&standin, &standin).await;
    let standin = ObjectStandin::default();
    let listening = standin.start(listener().await).expect("it starts");
    let objects = HttpObjects::new(HttpClient::default(), listening.address.to_string());
    objects_contract(&objects, &standin).await;
}

fn order(id: &str, fence: u64, action: Action, mib: u64) -> Order {
    Order {
        id: id.into(),
        fence: Fence(fence),
        action,
        item: ItemKey { model: id[..1].into(), adapter: None, version: "1".into() },
        per_accelerator: Mib(mib),
    }
}

async fn order_contract(engine: &dyn Engine, standin: &EngineStandin, checks_fence: bool) {
    assert_eq!(engine.order(&order("a1", 2, Action::Load, 60)).await, OrderReply::Accepted);
    // A repeat is answered alike and has no further effect.
    assert_eq!(engine.order(&order("a1", 2, Action::Load, 60)).await, OrderReply::Accepted);
    assert_eq!(standin.counts().moves, 1);
    // What does not fit is refused, now and later.
    let too_much = order("b1", 2, Action::Load, 60);
    assert!(matches!(engine.order(&too_much).await, OrderReply::Refused { .. }));
    assert!(matches!(engine.order(&too_much).await, OrderReply::Refused { .. }));
    assert_eq!(standin.counts().overcommits, 1);
    // An old token is refused by engines that check it.
    let stale = engine.order(&order("c1", 1, Action::Load, 1)).await;
    match checks_fence {
        true => assert_eq!(stale, OrderReply::Stale { seen: Fence(2) }),
        false => assert_eq!(stale, OrderReply::Accepted),
    }
    // A lost reply is unknown, and the report tells that the order was taken.
    standin.set_faults(EngineFaults { lose_order_replies: 1, ..EngineFaults::default() });
    let lost = order("d1", 2, Action::Load, 1);
    assert!(matches!(engine.order(&lost).await, OrderReply::Unknown(_)));
    let report = engine.report().await.expect("it reports");
    assert!(report.recent_orders.contains(&lost.id));
    assert_eq!(report.fence, Fence(2));
    standin.set_faults(EngineFaults { down: true, ..EngineFaults::default() });
    assert!(engine.report().await.is_err());
}

fn engine(checks_fence: bool) -> EngineStandin {
    let mut config = EngineConfig::ordinary("e".into(), vec![Mib(100); 2], checks_fence);
    config.report_lag_ms = 0;
    EngineStandin::new(config, 1, WeightStore::new(1_000.0, 4, 0))
}

#[tokio::test]
async fn engines_take_orders_by_their_contract() {
    for checks_fence in [true, false] {
        let standin = engine(checks_fence);
        order_contract(&standin, &standin, checks_fence).await;
        let standin = engine(checks_fence);
        let listening = standin.start(listener().await).expect("it starts");
        let http = HttpEngine::new(HttpClient::default(), listening.address.to_string());
        order_contract(&http, &standin, checks_fence).await;
    }
}

fn key(text: &str) -> DeploymentKey {
    DeploymentKey::new(text).expect("it is long enough")
}

#[tokio::test]
async fn peers_answer_only_the_deployments_key() {
    let listener = listener().await;
    let address = listener.local_addr().expect("it is bound").to_string();
    let (stop, stopped) = watch::channel(false);
    let handler = |message: PeerMessage| async move {
        match message {
            PeerMessage::FetchTree { newer_than: Revision(7) } => {
                let snapshot = Bytes::from(vec![7; 1_000_000]);
                PeerAnswer::Tree { snapshot }
            }
            _ => PeerAnswer::NoNewerTree,
        }
    };
    let server = tokio::spawn(serve_peers(listener, key("the-right-key-of-16"), handler, stopped));
    let right = Arc::new(H2Peers::new(key("the-right-key-of-16")));
    let fetch = PeerMessage::FetchTree { newer_than: Revision(7) };
    // An answer larger than a window of the link comes whole.
    match right.ask(&address, fetch.clone()).await {
        Ok(PeerAnswer::Tree { snapshot }) => assert_eq!(snapshot.len(), 1_000_000),
        other => panic!("another answer: {other:?}"),
    }
    let wrong = H2Peers::new(key("another-key-of-16-c"));
    assert_eq!(wrong.ask(&address, fetch.clone()).await, Err(PeerError::Refused));
    stop.send_replace(true);
    drop(right);
    drop(wrong);
    let ended = tokio::time::timeout(Duration::from_secs(30), server).await;
    assert!(ended.is_ok(), "the listener ends once its links are gone");
}
