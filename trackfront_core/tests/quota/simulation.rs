//! A simulation of boxes that enforce the limits of accounts, over links that delay and lose messages.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::accounts::{AccountLimit, LimitUnit};
use trackfront_core::quota::pool::{Pool, PoolTerms};
use trackfront_core::quota::share::{
    EndedWait, OutgoingRequest, Polled, QuotaShare, WaitOutcome, Waiter,
};
use trackfront_core::quota::{
    AccountId, BoxId, PARTITIONS, QuotaReply, QuotaRequest, rank_coordinators,
};
use trackfront_core::units::Moment;

/// The duration of one step.
pub const STEP: Duration = Duration::from_millis(10);

/// The interval at which boxes poll their shares, in steps.
const POLL_STEPS: u64 = 4;

/// The window in which an account's units are bounded.
const WINDOW: Duration = Duration::from_secs(8);

/// The units that the users' deployments tolerate beyond a limit: a fraction of it, and an absolute number.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 17_000.0;

/// The units of requests with long prompts, with short ones, and without tokens.
const UNITS: [u32; 3] = [2_400, 1_631, 200];

/// One account.
#[derive(Clone, Copy, Debug)]
pub struct TestAccount {
    pub id: AccountId,
    pub limit: AccountLimit,
    /// The demand of its clients, in units per second.
    pub demand: f64,
    /// The number of boxes that its clients connect to.
    pub boxes: usize,
}

/// Returns accounts of which a few are large, with limits of 1.8 times their usual demand and a burst of one second.
/// Clients of the largest connect to `boxes` boxes.
pub fn accounts(total_per_s: f64, boxes: usize) -> Vec<TestAccount> {
    let weights: Vec<f64> = (1..=16).map(|rank| 1.0 / f64::from(rank).powf(1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let account = |(rank, weight): (usize, &f64)| {
        let demand = total_per_s * weight / sum;
        let per_s = (demand * 1.8).max(4_200.0);
        TestAccount {
            id: AccountId::of(&format!("account-{rank}").as_str().into()),
            limit: AccountLimit { unit: LimitUnit::Tokens { plain: 200 }, per_s, burst: per_s },
            demand,
            boxes: (boxes as f64 * weight / weights[0]).ceil() as usize,
        }
    };
    weights.iter().enumerate().map(account).collect()
}

/// A strategy to enforce limits over many boxes.
pub trait LimitStrategy {
    /// Takes the units of a request at a box. Returns whether it passes, or `None` if that is decided later.
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool>;

    /// Advances by one step. Returns the accounts and units of waiting requests that passed.
    fn step(&mut self, network: &mut Network, now: Moment) -> Vec<(AccountId, u32)>;

    /// Restarts a box without its state.
    fn restart(&mut self, at: usize, now: Moment);
}

/// The boxes that run, and the links between them.
pub struct Network {
    pub rng: ChaCha8Rng,
    /// The group of each box. Only boxes of the same group reach each other.
    pub groups: Vec<u32>,
    pub up: Vec<bool>,
    pub frozen: Vec<bool>,
    pub lost_percent: u32,
    /// The number of boxes that all boxes know, whether they run or not.
    pub listed: usize,
}

impl Network {
    pub fn new(boxes: usize, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            groups: vec![0; boxes],
            up: vec![true; boxes],
            frozen: vec![false; boxes],
            lost_percent: 0,
            listed: boxes,
        }
    }

    /// Adds a box that runs.
    pub fn add_box(&mut self) {
        self.up.push(true);
        self.frozen.push(false);
        self.groups.push(0);
        self.listed += 1;
    }

    /// Returns the delay of a message in steps, or `None` if it is lost.
    pub fn delay(&mut self, from: usize, to: usize) -> Option<u64> {
        let reaches = self.up[to] && self.up[from] && self.groups[from] == self.groups[to];
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        let slow = self.rng.random_range(0..100) < 3;
        (reaches && !lost).then(|| if slow { self.rng.random_range(1..12) } else { 1 })
    }
}

/// The strategy of the product: coordinators that grant units.
pub struct CoordinatedQuotas {
    limits: HashMap<AccountId, AccountLimit>,
    boxes: Vec<SimulatedBox>,
    /// The messages on the way, by the step in which they arrive.
    in_flight: BTreeMap<u64, Vec<Message>>,
    /// The messages that arrived at each box while it was frozen.
    unread: Vec<VecDeque<Message>>,
    waiting: HashMap<Waiter, (AccountId, u32)>,
    last_waiter: u64,
    steps: u64,
    pub messages: u64,
    /// The number of waits that ended because no coordinator replied.
    pub unanswered_waits: u64,
}

struct SimulatedBox {
    shares: Vec<QuotaShare>,
    pools: Vec<Pool>,
}

struct Message {
    from: usize,
    to: usize,
    content: Content,
}

enum Content {
    QuotaRequest(QuotaRequest),
    QuotaReply(QuotaReply),
}

fn id(index: usize) -> BoxId {
    BoxId(index as u32 + 1)
}

impl CoordinatedQuotas {
    pub fn new(accounts: &[TestAccount], boxes: usize) -> Self {
        let limits = accounts.iter().map(|account| (account.id, account.limit)).collect();
        let boxes: Vec<SimulatedBox> =
            (0..boxes).map(|index| SimulatedBox::new(index, 0)).collect();
        let unread = boxes.iter().map(|_| VecDeque::new()).collect();
        Self {
            limits,
            boxes,
            in_flight: BTreeMap::new(),
            unread,
            waiting: HashMap::new(),
            last_waiter: 0,
            steps: 0,
            messages: 0,
            unanswered_waits: 0,
        }
    }

    /// Adds a box.
    pub fn add_box(&mut self) {
        self.boxes.push(SimulatedBox::new(self.boxes.len(), 0));
        self.unread.push(VecDeque::new());
    }

    pub fn set_limit(&mut self, account: AccountId, limit: AccountLimit) {
        self.limits.insert(account, limit);
    }

    /// Returns how many boxes coordinate a partition for others.
    pub fn coordinators_of(&self, partition: usize) -> usize {
        self.boxes.iter().filter(|one| one.pools[partition].lenders() > 1).count()
    }

    fn send(&mut self, network: &mut Network, message: Message) {
        self.messages += 1;
        if let Some(delay) = network.delay(message.from, message.to) {
            self.in_flight.entry(self.steps + delay).or_default().push(message);
        }
    }

    fn deliver(
        &mut self,
        network: &mut Network,
        message: Message,
        now: Moment,
        passed: &mut Vec<(AccountId, u32)>,
    ) {
        let Message { from, to, content } = message;
        match content {
            Content::QuotaRequest(request) => {
                let terms = PoolTerms { limits: &self.limits, boxes: Some(network.listed) };
                let pool = &mut self.boxes[to].pools[usize::from(request.partition)];
                let reply = pool.handle_request(id(from), &request, &terms, now);
                self.send(
                    network,
                    Message { from: to, to: from, content: Content::QuotaReply(reply) },
                );
            }
            Content::QuotaReply(reply) => {
                let share = &mut self.boxes[to].shares[usize::from(reply.partition)];
                let ended_waits = share.apply_reply(id(from), &reply, now);
                self.end_waits(ended_waits, passed);
            }
        }
    }

    fn end_waits(&mut self, ended_waits: Vec<EndedWait>, passed: &mut Vec<(AccountId, u32)>) {
        for (waiter, outcome) in ended_waits {
            let Some(request) = self.waiting.remove(&waiter) else {
                continue;
            };
            match outcome {
                WaitOutcome::Granted => passed.push(request),
                WaitOutcome::LimitReached { .. } => {}
                WaitOutcome::NoCoordinator { .. } => self.unanswered_waits += 1,
            }
        }
    }

    fn poll(
        &mut self,
        network: &mut Network,
        at: usize,
        partition: usize,
        now: Moment,
        passed: &mut Vec<(AccountId, u32)>,
    ) {
        let ranking = rank_coordinators(partition, (0..network.listed).map(id));
        loop {
            let Polled { requests, ended_waits } =
                self.boxes[at].shares[partition].poll(&ranking, now);
            self.end_waits(ended_waits, passed);
            let mut has_own = false;
            for OutgoingRequest { to, request } in requests {
                let to = to.0 as usize - 1;
                if to != at {
                    self.send(
                        network,
                        Message { from: at, to, content: Content::QuotaRequest(request) },
                    );
                    continue;
                }
                has_own = true;
                let terms = PoolTerms { limits: &self.limits, boxes: Some(network.listed) };
                let SimulatedBox { pools, shares } = &mut self.boxes[at];
                let reply = pools[partition].handle_request(id(at), &request, &terms, now);
                let ended_waits = shares[partition].apply_reply(id(at), &reply, now);
                self.end_waits(ended_waits, passed);
            }
            if !has_own {
                return;
            }
        }
    }
}

impl SimulatedBox {
    fn new(index: usize, number: u32) -> Self {
        let share = |partition| QuotaShare::new(id(index), partition, number);
        Self {
            shares: (0..PARTITIONS).map(share).collect(),
            pools: (0..PARTITIONS).map(|_| Pool::default()).collect(),
        }
    }
}

impl LimitStrategy for CoordinatedQuotas {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        self.last_waiter += 1;
        let waiter = Waiter(self.last_waiter);
        let share = &mut self.boxes[at].shares[account.partition()];
        if share.take(account, units, waiter, now) {
            return Some(true);
        }
        self.waiting.insert(waiter, (account, units));
        None
    }

    fn step(&mut self, network: &mut Network, now: Moment) -> Vec<(AccountId, u32)> {
        let mut passed = Vec::new();
        self.steps += 1;
        let arrived = self.in_flight.remove(&self.steps).unwrap_or_default();
        for message in arrived {
            let to = message.to;
            match (network.up[to], network.frozen[to]) {
                (false, _) => {}
                (true, true) => self.unread[to].push_back(message),
                (true, false) => self.deliver(network, message, now, &mut passed),
            }
        }
        for at in 0..self.boxes.len() {
            if !network.up[at] || network.frozen[at] {
                continue;
            }
            // A process that is no longer frozen reads what arrived meanwhile.
            while let Some(message) = self.unread[at].pop_front() {
                self.deliver(network, message, now, &mut passed);
            }
            for partition in 0..PARTITIONS {
                let is_due = (self.steps + at as u64 + partition as u64).is_multiple_of(POLL_STEPS);
                if is_due {
                    self.poll(network, at, partition, now, &mut passed);
                }
            }
        }
        passed
    }

    fn restart(&mut self, at: usize, now: Moment) {
        let number = now.0.as_millis() as u32;
        self.boxes[at] = SimulatedBox::new(at, number);
        self.unread[at].clear();
    }
}

/// Accounts with demand, a strategy that enforces their limits, and the units that passed.
pub struct Simulation<W> {
    pub network: Network,
    pub strategy: W,
    pub now: Moment,
    accounts: Vec<TestAccount>,
    /// The boxes that the clients of each account connect to.
    connected: Vec<Vec<usize>>,
    /// The units that the clients of each account have yet to request.
    unsent_units: Vec<f64>,
    passed: HashMap<AccountId, VecDeque<(Moment, f64)>>,
    /// The units in the current window of each account.
    window_units: HashMap<AccountId, f64>,
    /// The largest window of each account, as a fraction of its bound.
    max_windows: HashMap<AccountId, f64>,
    /// A central counter for each account: its level, and when that was updated.
    reference: HashMap<AccountId, (f64, Moment)>,
    pub passed_units: f64,
    /// The units that the central counters let pass.
    pub reference_units: f64,
}

impl<W: LimitStrategy> Simulation<W> {
    pub fn new(accounts: Vec<TestAccount>, network: Network, strategy: W) -> Self {
        let mut run = Self {
            network,
            strategy,
            now: Moment::default(),
            connected: Vec::new(),
            unsent_units: vec![0.0; accounts.len()],
            accounts,
            passed: HashMap::new(),
            window_units: HashMap::new(),
            max_windows: HashMap::new(),
            reference: HashMap::new(),
            passed_units: 0.0,
            reference_units: 0.0,
        };
        run.reconnect_clients();
        run
    }

    /// Connects the clients of each account to other boxes.
    pub fn reconnect_clients(&mut self) {
        let mut all: Vec<usize> = (0..self.network.listed).collect();
        self.connected.clear();
        for account in &self.accounts {
            all.shuffle(&mut self.network.rng);
            self.connected.push(all.iter().take(account.boxes.max(1)).copied().collect());
        }
    }

    pub fn account(&mut self, index: usize) -> &mut TestAccount {
        &mut self.accounts[index]
    }

    /// Returns the units that an account may get in any window.
    fn bound(limit: AccountLimit) -> f64 {
        (limit.per_s * WINDOW.as_secs_f64() + limit.burst) * (1.0 + OVERAGE) + SLACK
    }

    /// Advances by one step and measures the windows that end with it.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.accounts.len() {
            let account = self.accounts[index];
            let noise: f64 = self.network.rng.random_range(0.0..2.0);
            self.unsent_units[index] += account.demand * STEP.as_secs_f64() * noise;
            loop {
                let units = UNITS[self.network.rng.random_range(0..UNITS.len())];
                if self.unsent_units[index] < f64::from(units) {
                    break;
                }
                self.unsent_units[index] -= f64::from(units);
                let connected = &self.connected[index];
                let at = connected[self.network.rng.random_range(0..connected.len())];
                self.request(account, at, units);
            }
        }
        let passed = self.strategy.step(&mut self.network, self.now);
        for (account, units) in passed {
            self.pass(account, units);
        }
        self.measure_windows();
    }

    fn request(&mut self, account: TestAccount, at: usize, units: u32) {
        if !self.network.up[at] || self.network.frozen[at] {
            return;
        }
        let limit = account.limit;
        let (level, since) = self.reference.entry(account.id).or_insert((limit.burst, self.now));
        *level = (*level + limit.per_s * self.now.since(*since).as_secs_f64()).min(limit.burst);
        *since = self.now;
        if *level >= f64::from(units) {
            *level -= f64::from(units);
            self.reference_units += f64::from(units);
        }
        if self.strategy.take(at, account.id, units, self.now) == Some(true) {
            self.pass(account.id, units);
        }
    }

    fn pass(&mut self, account: AccountId, units: u32) {
        let units = f64::from(units);
        self.passed_units += units;
        self.passed.entry(account).or_default().push_back((self.now, units));
        *self.window_units.entry(account).or_default() += units;
    }

    fn measure_windows(&mut self) {
        for account in &self.accounts {
            let Some(passed) = self.passed.get_mut(&account.id) else {
                continue;
            };
            let sum = self.window_units.entry(account.id).or_default();
            while passed.front().is_some_and(|(at, _)| self.now.since(*at) >= WINDOW) {
                let (_, units) = passed.pop_front().expect("it was just seen");
                *sum -= units;
            }
            let fraction = *sum / Self::bound(account.limit);
            let max_window = self.max_windows.entry(account.id).or_default();
            *max_window = max_window.max(fraction);
        }
    }

    /// Returns the largest window of any account, as a fraction of its bound.
    pub fn max_window_fraction(&self) -> f64 {
        self.max_windows.values().copied().fold(0.0, f64::max)
    }

    /// Returns the units that passed, as a fraction of what central counters let pass.
    pub fn passed_fraction(&self) -> f64 {
        self.passed_units / self.reference_units
    }
}
