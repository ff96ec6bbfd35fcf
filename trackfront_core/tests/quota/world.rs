//! Boxes that serve accounts, links between them that are delayed, lossy or cut, and what was granted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::accounts::{AccountLimit, LimitUnit};
use trackfront_core::quota::pool::{Pool, PoolTerms};
use trackfront_core::quota::share::{Outcome, OutgoingRequest, QuotaShare, Step, Waiter};
use trackfront_core::quota::{
    AccountId, BoxId, PARTITIONS, QuotaReply, QuotaRequest, rank_coordinators,
};
use trackfront_core::units::Moment;

/// The time of one step.
pub const STEP: Duration = Duration::from_millis(10);

/// How often boxes look at their shares beside messages.
const POLL_EVERY: u64 = 4;

/// The window, overage and slack of the bound: those of the deployment that has set such limits.
pub const WINDOW: Duration = Duration::from_secs(8);
pub const OVERAGE: f64 = 0.1;
pub const SLACK: f64 = 17_000.0;

/// The units of requests: long prompts, short ones, and calls without tokens.
const UNITS: [u32; 3] = [2_400, 1_631, 200];

/// One account.
#[derive(Clone, Copy, Debug)]
pub struct TestAccount {
    pub id: AccountId,
    pub limit: AccountLimit,
    /// Units that its clients ask for each second.
    pub demand: f64,
    /// Through how many boxes.
    pub entries: usize,
}

/// Makes accounts of which a few are large, with limits of 1.8 times their usual demand and a burst of a second.
pub fn accounts(total_per_s: f64, entries: usize) -> Vec<TestAccount> {
    let weights: Vec<f64> = (1..=16).map(|rank| 1.0 / f64::from(rank).powf(1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let account = |(rank, weight): (usize, &f64)| {
        let demand = total_per_s * weight / sum;
        let per_s = (demand * 1.8).max(4_200.0);
        TestAccount {
            id: AccountId::of(&format!("account-{rank}").as_str().into()),
            limit: AccountLimit { unit: LimitUnit::Tokens { plain: 200 }, per_s, burst: per_s },
            demand,
            entries: (entries as f64 * weight / weights[0]).ceil() as usize,
        }
    };
    weights.iter().enumerate().map(account).collect()
}

/// How the limits are kept.
pub trait Way {
    /// A request comes to a box. Returns whether it passes, or `None` if that comes later.
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool>;

    /// Time goes on; returns what has passed meanwhile, by account.
    fn step(&mut self, net: &mut Net, now: Moment) -> Vec<(AccountId, u32)>;

    /// A box starts anew, without memory.
    fn restart(&mut self, at: usize, now: Moment);
}

/// Which boxes reach which, and how.
pub struct Net {
    pub rng: ChaCha8Rng,
    /// The group of each box: those of one group reach each other.
    pub group: Vec<u32>,
    pub up: Vec<bool>,
    pub frozen: Vec<bool>,
    pub lost_percent: u32,
    /// How long ago each box last knew of each: here, those that were up when the world began or were added.
    pub listed: usize,
}

impl Net {
    pub fn new(boxes: usize, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            group: vec![0; boxes],
            up: vec![true; boxes],
            frozen: vec![false; boxes],
            lost_percent: 0,
            listed: boxes,
        }
    }

    /// Returns in how many steps a message arrives, if it does.
    pub fn delay(&mut self, from: usize, to: usize) -> Option<u64> {
        let reaches = self.up[to] && self.up[from] && self.group[from] == self.group[to];
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        let slow = self.rng.random_range(0..100) < 3;
        (reaches && !lost).then(|| if slow { self.rng.random_range(1..12) } else { 1 })
    }
}

/// Keepers, as the product has them.
pub struct Keepers {
    limits: HashMap<AccountId, AccountLimit>,
    boxes: Vec<KeeperBox>,
    letters: BTreeMap<u64, Vec<Letter>>,
    held: Vec<VecDeque<Letter>>,
    waiting: HashMap<Waiter, (AccountId, u32)>,
    next: u64,
    steps: u64,
    pub messages: u64,
    pub unknown: u64,
}

struct KeeperBox {
    shares: Vec<QuotaShare>,
    pools: Vec<Pool>,
}

struct Letter {
    from: usize,
    to: usize,
    what: Content,
}

enum Content {
    QuotaRequest(QuotaRequest),
    QuotaReply(QuotaReply),
}

fn id(index: usize) -> BoxId {
    BoxId(index as u32 + 1)
}

impl Keepers {
    pub fn new(accounts: &[TestAccount], boxes: usize) -> Self {
        let limits = accounts.iter().map(|account| (account.id, account.limit)).collect();
        let boxes: Vec<KeeperBox> = (0..boxes).map(|index| KeeperBox::new(index, 0)).collect();
        let held = boxes.iter().map(|_| VecDeque::new()).collect();
        Self {
            limits,
            boxes,
            letters: BTreeMap::new(),
            held,
            waiting: HashMap::new(),
            next: 0,
            steps: 0,
            messages: 0,
            unknown: 0,
        }
    }

    pub fn add(&mut self) {
        self.boxes.push(KeeperBox::new(self.boxes.len(), 0));
        self.held.push(VecDeque::new());
    }

    pub fn set_limit(&mut self, account: AccountId, limit: AccountLimit) {
        self.limits.insert(account, limit);
    }

    /// Returns how many boxes are keeper of a partition for others than themselves.
    pub fn keepers_of(&self, partition: usize) -> usize {
        self.boxes.iter().filter(|one| one.pools[partition].lenders() > 1).count()
    }

    fn carry(&mut self, net: &mut Net, letter: Letter) {
        self.messages += 1;
        if let Some(delay) = net.delay(letter.from, letter.to) {
            self.letters.entry(self.steps + delay).or_default().push(letter);
        }
    }

    fn deliver(
        &mut self,
        net: &mut Net,
        letter: Letter,
        now: Moment,
        passed: &mut Vec<(AccountId, u32)>,
    ) {
        let Letter { from, to, what } = letter;
        match what {
            Content::QuotaRequest(request) => {
                let terms = PoolTerms { limits: &self.limits, boxes: Some(net.listed) };
                let pool = &mut self.boxes[to].pools[usize::from(request.partition)];
                let answer = pool.answer(id(from), &request, &terms, now);
                self.carry(net, Letter { from: to, to: from, what: Content::QuotaReply(answer) });
            }
            Content::QuotaReply(answer) => {
                let share = &mut self.boxes[to].shares[usize::from(answer.partition)];
                let over = share.apply_reply(id(from), &answer, now);
                self.settle(over, passed);
            }
        }
    }

    fn settle(&mut self, over: Vec<(Waiter, Outcome)>, passed: &mut Vec<(AccountId, u32)>) {
        for (waiter, outcome) in over {
            let Some(request) = self.waiting.remove(&waiter) else {
                continue;
            };
            match outcome {
                Outcome::Granted => passed.push(request),
                Outcome::Reached(_) => {}
                Outcome::Unknown(_) => self.unknown += 1,
            }
        }
    }

    fn poll(
        &mut self,
        net: &mut Net,
        at: usize,
        partition: usize,
        now: Moment,
        passed: &mut Vec<(AccountId, u32)>,
    ) {
        let ranking = rank_coordinators(partition, (0..net.listed).map(id));
        loop {
            let Step { sends, over } = self.boxes[at].shares[partition].poll(&ranking, now);
            self.settle(over, passed);
            let mut asked_itself = false;
            for OutgoingRequest { to, request } in sends {
                let to = to.0 as usize - 1;
                if to != at {
                    self.carry(net, Letter { from: at, to, what: Content::QuotaRequest(request) });
                    continue;
                }
                asked_itself = true;
                let terms = PoolTerms { limits: &self.limits, boxes: Some(net.listed) };
                let answer = self.boxes[at].pools[partition].answer(id(at), &request, &terms, now);
                let over = self.boxes[at].shares[partition].apply_reply(id(at), &answer, now);
                self.settle(over, passed);
            }
            if !asked_itself {
                return;
            }
        }
    }
}

impl KeeperBox {
    fn new(index: usize, number: u32) -> Self {
        let share = |partition| QuotaShare::new(id(index), partition, number);
        Self {
            shares: (0..PARTITIONS).map(share).collect(),
            pools: (0..PARTITIONS).map(|_| Pool::default()).collect(),
        }
    }
}

impl Way for Keepers {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        self.next += 1;
        let waiter = Waiter(self.next);
        let share = &mut self.boxes[at].shares[account.partition()];
        if share.take(account, units, waiter, now) {
            return Some(true);
        }
        self.waiting.insert(waiter, (account, units));
        None
    }

    fn step(&mut self, net: &mut Net, now: Moment) -> Vec<(AccountId, u32)> {
        let mut passed = Vec::new();
        self.steps += 1;
        let due = self.letters.remove(&self.steps).unwrap_or_default();
        for letter in due {
            let to = letter.to;
            match (net.up[to], net.frozen[to]) {
                (false, _) => {}
                (true, true) => self.held[to].push_back(letter),
                (true, false) => self.deliver(net, letter, now, &mut passed),
            }
        }
        for at in 0..self.boxes.len() {
            if !net.up[at] || net.frozen[at] {
                continue;
            }
            // What came while the process stood still is read as if it were new.
            while let Some(letter) = self.held[at].pop_front() {
                self.deliver(net, letter, now, &mut passed);
            }
            for partition in 0..PARTITIONS {
                let wanted = (self.steps + at as u64 + partition as u64).is_multiple_of(POLL_EVERY);
                if wanted {
                    self.poll(net, at, partition, now, &mut passed);
                }
            }
        }
        passed
    }

    fn restart(&mut self, at: usize, now: Moment) {
        let number = now.0.as_millis() as u32;
        self.boxes[at] = KeeperBox::new(at, number);
        self.held[at].clear();
    }
}

/// A run: accounts, the way, and what was granted when.
pub struct Run<W> {
    pub net: Net,
    pub way: W,
    pub now: Moment,
    accounts: Vec<TestAccount>,
    /// The boxes that each account's clients reach.
    entries: Vec<Vec<usize>>,
    owed: Vec<f64>,
    pub passed: HashMap<AccountId, VecDeque<(Moment, f64)>>,
    window: HashMap<AccountId, f64>,
    /// The largest window of each account over its bound.
    pub worst: HashMap<AccountId, f64>,
    pub reference: HashMap<AccountId, (f64, Moment)>,
    pub asked_units: f64,
    pub passed_units: f64,
    pub due_units: f64,
}

impl<W: Way> Run<W> {
    pub fn new(accounts: Vec<TestAccount>, net: Net, way: W) -> Self {
        let mut run = Self {
            net,
            way,
            now: Moment::default(),
            entries: Vec::new(),
            owed: vec![0.0; accounts.len()],
            accounts,
            passed: HashMap::new(),
            window: HashMap::new(),
            worst: HashMap::new(),
            reference: HashMap::new(),
            asked_units: 0.0,
            passed_units: 0.0,
            due_units: 0.0,
        };
        run.move_clients();
        run
    }

    /// Clients of each account connect to other boxes.
    pub fn move_clients(&mut self) {
        let mut all: Vec<usize> = (0..self.net.listed).collect();
        self.entries.clear();
        for account in &self.accounts {
            all.shuffle(&mut self.net.rng);
            self.entries.push(all.iter().take(account.entries.max(1)).copied().collect());
        }
    }

    pub fn account(&mut self, index: usize) -> &mut TestAccount {
        &mut self.accounts[index]
    }

    pub fn bound(limit: AccountLimit) -> f64 {
        (limit.per_s * WINDOW.as_secs_f64() + limit.burst) * (1.0 + OVERAGE) + SLACK
    }

    /// Takes one step and asserts the bound on the window that ends with it.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.accounts.len() {
            let account = self.accounts[index];
            let noise: f64 = self.net.rng.random_range(0.0..2.0);
            self.owed[index] += account.demand * STEP.as_secs_f64() * noise;
            loop {
                let place = self.net.rng.random_range(0..UNITS.len());
                let units = UNITS[place];
                if self.owed[index] < f64::from(units) {
                    break;
                }
                self.owed[index] -= f64::from(units);
                let entry = self.net.rng.random_range(0..self.entries[index].len());
                self.request(account, self.entries[index][entry], units);
            }
        }
        let passed = self.way.step(&mut self.net, self.now);
        for (account, units) in passed {
            self.pass(account, units);
        }
        self.check();
    }

    fn request(&mut self, account: TestAccount, at: usize, units: u32) {
        if !self.net.up[at] || self.net.frozen[at] {
            return;
        }
        self.asked_units += f64::from(units);
        let limit = account.limit;
        let (level, since) = self.reference.entry(account.id).or_insert((limit.burst, self.now));
        *level = (*level + limit.per_s * self.now.since(*since).as_secs_f64()).min(limit.burst);
        *since = self.now;
        if *level >= f64::from(units) {
            *level -= f64::from(units);
            self.due_units += f64::from(units);
        }
        if self.way.take(at, account.id, units, self.now) == Some(true) {
            self.pass(account.id, units);
        }
    }

    fn pass(&mut self, account: AccountId, units: u32) {
        let units = f64::from(units);
        self.passed_units += units;
        self.passed.entry(account).or_default().push_back((self.now, units));
        *self.window.entry(account).or_default() += units;
    }

    fn check(&mut self) {
        for account in &self.accounts {
            let Some(passed) = self.passed.get_mut(&account.id) else {
                continue;
            };
            let sum = self.window.entry(account.id).or_default();
            while passed.front().is_some_and(|(at, _)| self.now.since(*at) >= WINDOW) {
                let (_, units) = passed.pop_front().expect("it was just seen");
                *sum -= units;
            }
            let part = *sum / Self::bound(account.limit);
            let worst = self.worst.entry(account.id).or_default();
            *worst = worst.max(part);
        }
    }

    /// Returns the largest window of any account over its bound.
    pub fn worst_part(&self) -> f64 {
        self.worst.values().copied().fold(0.0, f64::max)
    }

    /// Returns the part of what a counter in one place would have passed.
    pub fn passed_part(&self) -> f64 {
        self.passed_units / self.due_units
    }
}
