//! Owners that pause and are replaced, orders that are lost or late: the engines' own counts of
//! overcommits and of orders from a stale owner.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use trackfront_core::demand::Demand;
use trackfront_core::ids::{BackendId, Fence, ItemKey, OrderId, ShardId};
use trackfront_core::order::Order;
use trackfront_core::owner::{OrdersRow, ShardOwner};
use trackfront_core::placement::Planner;
use trackfront_core::ports::{Engine, EngineError, OrderReply};
use trackfront_core::tree::{Service, TreeFiles, build};
use trackfront_core::units::Moment;
use trackfront_standin::engine::{EngineConfig, EngineStandin, WeightStore};
use trackfront_standin::small::{REGION, SERVICE, Spec};

use crate::cli::Fences;
use crate::figures::print;
use crate::paused;

/// How late an order may arrive, in steps.
const MAX_DELAY: u64 = 400;

#[derive(Debug, Default, Serialize)]
struct Figures {
    question: &'static str,
    steps: u64,
    takeovers: u64,
    orders_sent: u64,
    orders_lost: u64,
    orders_late: u64,
    overcommits: u64,
    stale_orders_refused: u64,
    stale_orders_accepted: u64,
    versions: u64,
}

/// An order on its way.
struct OnWay {
    arrives: u64,
    engine: BackendId,
    order: Order,
}

/// Everything that a run has.
struct Run {
    engines: BTreeMap<BackendId, EngineStandin>,
    files: TreeFiles,
    service: Service,
    version: u64,
    owner: ShardOwner,
    planner: Planner,
    /// The row as the table has it, and the token of the lease.
    row: OrdersRow,
    fence: Fence,
    on_way: Vec<OnWay>,
    now: Moment,
    step: u64,
    rng: ChaCha8Rng,
    figures: Figures,
}

/// Runs random steps and prints the counts.
pub fn run(args: &Fences) -> anyhow::Result<()> {
    paused::run(async {
        let mut run = Run::new(args.seed)?;
        for _ in 0..args.steps {
            run.step().await?;
        }
        run.finish();
        Ok(())
    })
}

impl Run {
    fn new(seed: u64) -> anyhow::Result<Run> {
        let spec = Spec {
            engines: 6,
            models: (0..8)
                .map(|model| (format!("m{model}"), vec![format!("m{model}-x")]))
                .collect(),
            weights_mib: 15_000,
            ..Spec::default()
        };
        let files = spec.memory_files();
        let service = service(&files)?;
        let weights = WeightStore::new(1_000.0, 64, 20);
        let engines = service
            .backends
            .iter()
            .enumerate()
            .map(|(number, (id, backend))| {
                let mut config = EngineConfig::ordinary(
                    id.clone(),
                    backend.accelerators.clone(),
                    backend.checks_fence,
                );
                config.report_lag_ms = 700;
                let engine = EngineStandin::new(config, number as u64 + 1, weights.clone());
                (id.clone(), engine)
            })
            .collect();
        let shard = ShardId { region: REGION.into(), service: SERVICE.into() };
        let now = Moment::default();
        let row = OrdersRow::default();
        let owner = ShardOwner::new(shard, Fence(1), &service, row.clone(), now);
        Ok(Run {
            engines,
            files,
            service,
            version: 1,
            owner,
            planner: Planner::default(),
            row,
            fence: Fence(1),
            on_way: Vec::new(),
            now,
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            figures: Figures { question: "fences", ..Figures::default() },
        })
    }

    async fn step(&mut self) -> anyhow::Result<()> {
        self.step += 1;
        let pause = Duration::from_millis(self.rng.random_range(1..120));
        tokio::time::sleep(pause).await;
        self.now = self.now + pause;
        self.deliver().await;
        match self.rng.random_range(0..100) {
            0 => self.take_over(),
            1..=2 => self.change_version()?,
            3..=30 => self.read_report().await,
            _ => self.work(),
        }
        Ok(())
    }

    /// Lets orders arrive whose time has come, in whatever order that is.
    async fn deliver(&mut self) {
        let (due, rest) =
            std::mem::take(&mut self.on_way).into_iter().partition(|way| way.arrives <= self.step);
        self.on_way = rest;
        let due: Vec<OnWay> = due;
        for way in due {
            let reply = self.engines[&way.engine].order(&way.order).await;
            // Half of all replies are lost on the way back.
            let heard = match self.rng.random::<bool>() {
                true => reply,
                false => lost(),
            };
            if way.order.fence == self.fence {
                self.owner.apply_reply(&way.order.id, &heard);
            }
        }
    }

    /// Another box takes the shard over while the owner is paused: what the old one has sent, or
    /// was about to send, stays on its way.
    fn take_over(&mut self) {
        self.fence = Fence(self.fence.0 + 1);
        self.figures.takeovers += 1;
        let shard = self.owner.shard().clone();
        self.owner = ShardOwner::new(shard, self.fence, &self.service, self.row.clone(), self.now);
        self.planner = Planner::default();
    }

    /// Changes the version of one model, so that there is always something to move.
    fn change_version(&mut self) -> anyhow::Result<()> {
        self.version += 1;
        self.figures.versions += 1;
        let model = self.rng.random_range(0..8);
        let path = format!("{REGION}/{SERVICE}/m{model}/model.toml");
        let text = format!("version = \"{}\"\nweights_mib = 15000\n", self.version);
        self.files.0.insert(path, text);
        self.service = service(&self.files)?;
        self.owner.set_service(&self.service);
        Ok(())
    }

    async fn read_report(&mut self) {
        let ids: Vec<BackendId> = self.engines.keys().cloned().collect();
        let id = &ids[self.rng.random_range(0..ids.len())];
        if let Ok(report) = self.engines[id].report().await {
            self.owner.apply_report(id, &report, self.now);
        }
    }

    /// A round of the owner: plan, write down, send.
    fn work(&mut self) {
        if self.owner.is_superseded() {
            return self.take_over();
        }
        self.owner.take_ended();
        let demand: HashMap<ItemKey, Demand> = HashMap::new();
        self.owner.plan(&self.service, &mut self.planner, &demand, self.now, &mut self.rng);
        self.row = self.owner.orders_row();
        self.owner.confirm_written(&self.row);
        for intent in self.owner.take_due(self.now) {
            self.send(intent.engine, intent.order);
        }
    }

    /// Sends an order: at once, late, or never.
    fn send(&mut self, engine: BackendId, order: Order) {
        self.figures.orders_sent += 1;
        let id: OrderId = order.id.clone();
        match self.rng.random_range(0..10) {
            0..=1 => {
                self.figures.orders_lost += 1;
                self.owner.apply_reply(&id, &lost());
            }
            2..=4 => {
                self.figures.orders_late += 1;
                let arrives = self.step + self.rng.random_range(1..MAX_DELAY);
                self.owner.apply_reply(&id, &lost());
                self.on_way.push(OnWay { arrives, engine, order });
            }
            _ => self.on_way.push(OnWay { arrives: self.step + 1, engine, order }),
        }
    }

    fn finish(mut self) {
        for engine in self.engines.values() {
            let counts = engine.counts();
            self.figures.overcommits += counts.overcommits;
            self.figures.stale_orders_refused += counts.stale_orders;
            self.figures.stale_orders_accepted += counts.stale_taken;
        }
        self.figures.steps = self.step;
        print(&self.figures);
    }
}

fn lost() -> OrderReply {
    OrderReply::Unknown(EngineError::Unavailable("the reply was lost".into()))
}

fn service(files: &TreeFiles) -> anyhow::Result<Service> {
    let tree = build(files)?;
    let shard = ShardId { region: REGION.into(), service: SERVICE.into() };
    tree.service(&shard).cloned().ok_or_else(|| anyhow::anyhow!("the tree has no {shard}"))
}
