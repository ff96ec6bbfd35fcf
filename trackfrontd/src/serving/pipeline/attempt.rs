//! A single send of a request to a server, and the evaluation of the answer's head.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};
use trackfront_adapters::body_end::BodyEnd;
use trackfront_adapters::interface::Attempt;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::upstream::{UpstreamAnswer, UpstreamError};
use trackfront_core::ids::RequestId;
use trackfront_core::serving::choice::Choice;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::load::{AttemptOutcome, TrackedRequest};
use trackfront_core::serving::notices::NoticeSource;
use trackfront_core::serving::permits::Permit;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::{Chosen, Job, Suspects};
use crate::serving::engine_loads::DeclaredRequest;
use crate::serving::feed_relay::FeedKind;
use crate::serving::node::ServingNode;
use crate::serving::overlay::EntryKind;
use crate::serving::reach::Purpose;
use crate::serving::room::RoomGrant;
use crate::serving::{cold, crashes, notices, reach, room};

/// How long the choice of a server stays valid until the request is sent: longer than a connection
/// takes to open through another box, and short against the seconds for which a leaving server keeps serving. It is only
/// exceeded if the process stood still or the machine was suspended.
const MAX_CHOICE_AGE: Duration = Duration::from_millis(700);

/// The maximum idle time of a pooled connection for a request that may be repeated.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(20);

/// The maximum idle time of a pooled connection for a request that may not be repeated: a server
/// may have dropped the connection silently.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(3);

/// The multiple of its target for which an idempotent request waits at one server before another is
/// tried.
const HEAD_WAIT_TARGET_FACTOR: u32 = 4;

/// The time after the first event of an answer until which a part of its prompt may be why its server crashed.
const CRASH_AFTER_BEGIN: Duration = Duration::from_secs(1);

/// The longest wait for room at one brittle server; another may have some.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(150);

/// Counts a request as in flight at a server until it is dropped.
pub struct SendGuard {
    node: Arc<ServingNode>,
    tracked: Option<TrackedRequest>,
    item: Option<ModelRef>,
    request: RequestId,
    suspects: Suspects,
    server: Arc<KnownServer>,
    /// When the first event of the answer arrived.
    first_event_at: Option<Moment>,
    /// Whether the answer's framing shows that it is complete.
    has_own_end: bool,
    /// The room that the request takes, if the server is brittle.
    room: Option<RoomGrant>,
    /// The request as the coordinator of the engine's load knows it, if it is told.
    declared: Option<DeclaredRequest>,
    /// How long work takes at the server, in percent of the usual time, if the head of its answer said so.
    pace: Option<u32>,
    /// Whether this box knew that it was cut off when it sent the request, so that another box carries it.
    was_cut_off: bool,
}

impl SendGuard {
    /// Records the first event of the answer.
    pub fn record_first_event(&mut self) {
        let now = self.node.now();
        self.first_event_at.get_or_insert(now);
        if let Some(tracked) = &mut self.tracked {
            self.node.loads.lock().first_event(tracked, now);
        }
        self.declare_first_event();
    }

    /// Declares that the answer has begun, unless that was declared already.
    pub fn declare_first_event(&mut self) {
        if let Some(declared) = &mut self.declared {
            declared.first_event(self.pace);
        }
    }

    /// Records that the connection to the server broke while the request was in flight.
    pub fn record_broken_connection(&mut self) {
        self.finish(AttemptOutcome::Failed);
        if self.has_lost_own_link() {
            return;
        }
        let (request, parts) = self.suspects.split_at(1);
        // A part crashes a server that begins to answer on it, so a longer run clears those of its prompt.
        let has_run_long =
            self.first_event_at.is_some_and(|at| self.node.now().since(at) >= CRASH_AFTER_BEGIN);
        if has_run_long {
            crashes::request_completed(&self.node, parts);
        }
        let suspects = if has_run_long { request } else { &self.suspects[..] };
        crashes::connection_broke(&self.node, &self.request, suspects, &self.server);
    }

    /// Records that the server's answer ended, whatever its status. Only an answer that states its end shows that the
    /// server did not crash.
    pub fn record_answer(&mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
        self.node.reach.lock().record_answer(self.node.now());
        if self.has_own_end {
            self.node.crashes.record_alive(&self.server.entry.id, self.node.now());
            crashes::request_completed(&self.node, &self.suspects);
        }
    }

    /// Returns whether the server has ended, after its answer ended with the connection.
    pub async fn has_server_ended(&self) -> bool {
        let has_ended = crashes::has_ended(&self.node, &self.server.entry).await;
        let (request, server) = (&self.request, &self.server.entry.id);
        log::info!(request:%, server:%, has_ended; "answer ended with its connection");
        has_ended
    }

    /// Records how the request ended at the server. Later calls have no effect.
    pub fn finish(&mut self, outcome: AttemptOutcome) {
        let now = self.node.now();
        let outcome = self.attributable(outcome);
        self.declared = None;
        if let Some(mut room) = self.room.take()
            && outcome == AttemptOutcome::Refused
        {
            room.record_rejected();
        }
        if let Some(tracked) = self.tracked.take() {
            if let Some(item) = &self.item {
                self.node.adapter_use.lock().end(tracked.server(), item);
            }
            self.node.loads.lock().end(tracked, outcome, now);
        }
    }

    /// Returns whether this box was cut off from all servers after it had sent the request.
    fn has_lost_own_link(&self) -> bool {
        !self.was_cut_off && self.node.is_cut_off()
    }

    /// Returns what an outcome says of the server: nothing if the links of this box may be at fault.
    fn attributable(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_own_fault = match outcome {
            AttemptOutcome::Unreachable => self.node.is_cut_off(),
            AttemptOutcome::Failed => self.has_lost_own_link(),
            _ => false,
        };
        if is_own_fault { AttemptOutcome::Abandoned } else { outcome }
    }

    /// Returns the server.
    pub fn server(&self) -> &KnownServer {
        &self.server
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.tracked.as_ref().map_or(0.0, TrackedRequest::expected_ms)
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Abandoned);
    }
}

/// The outcome of a single send.
pub enum SendOutcome {
    /// The head of an answer to this request arrived.
    Answer(Box<UpstreamAnswer>, Box<SendGuard>),
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// The connection was refused: no process listens at the server's address.
    NotListening,
    /// The server is brittle and has no room; nothing was sent.
    NoRoom,
    /// The server refused the request without running it.
    Refused,
    /// The chosen incarnation of the server has ended; a new one at its address refused the request
    /// without running it.
    IncarnationEnded,
    /// The request may have run; the reason for the failure.
    Failed(&'static str),
}

impl Job {
    /// Returns the time until which the head of an answer is awaited.
    fn head_until(&self) -> Instant {
        if !self.route.is_idempotent() || self.route.max_attempts < 2 {
            return self.answer_by;
        }
        let max_wait = self.route.latency_target * HEAD_WAIT_TARGET_FACTOR;
        let half = self.answer_by.saturating_duration_since(self.request_time()) / 2;
        self.request_time() + max_wait.max(half)
    }

    /// Sends the request to a server and waits for the head of its answer.
    pub async fn send(&self, chosen: &Chosen, after_event: Option<&str>) -> SendOutcome {
        let node = &self.node;
        let (choice, permit) = (&chosen.choice, chosen.permit);
        let server = &choice.server.entry;
        let (max_wait, max_time) = self.room_times(choice);
        let Ok(room) = room::acquire(node, server, max_wait, max_time).await else {
            log::info!(request:% = self.info.id, server:% = server.id; "no room at brittle server");
            return SendOutcome::NoRoom;
        };
        let mut guard = self.begin_send(chosen, room);
        self.log_send(chosen, guard.expected_ms(), after_event.is_some());
        let purpose = self.purpose();
        let open = || reach::open(node, server, purpose);
        let build = || self.build_request(choice, permit, after_event);
        let sending = node.pool.send_over(&server.address, self.max_idle(), open, build);
        let sent = timeout_at(self.timer(self.head_until().min(self.answer_by)), sending).await;
        let (result, outcome) = match sent {
            Err(_) => {
                guard.finish(AttemptOutcome::Failed);
                self.record_silence();
                node.pool.forget(&server.address);
                ("no answer in time", SendOutcome::Failed("no answer in time"))
            }
            Ok(Err(UpstreamError::NotSent(cause))) => {
                guard.finish(AttemptOutcome::Unreachable);
                log::info!(request:% = self.info.id, server:% = server.id, cause; "not sent");
                ("unreachable", SendOutcome::Unreachable)
            }
            Ok(Err(UpstreamError::Withheld)) => {
                guard.finish(AttemptOutcome::Abandoned);
                let chosen_ms_ago = node.now().since(choice.at).as_millis() as u64;
                log::info!(request:% = self.info.id, server:% = server.id, chosen_ms_ago; "send withheld");
                ("withheld", SendOutcome::Unreachable)
            }
            Ok(Err(UpstreamError::ConnectionRefused(cause))) => {
                guard.finish(AttemptOutcome::Unreachable);
                crashes::connection_refused(node, &server.id);
                log::info!(request:% = self.info.id, server:% = server.id, cause; "not sent");
                ("refused_connection", SendOutcome::NotListening)
            }
            Ok(Err(UpstreamError::Lost(cause))) => {
                guard.record_broken_connection();
                log::info!(request:% = self.info.id, server:% = server.id, cause; "answer lost");
                ("lost", SendOutcome::Failed("the answer was lost"))
            }
            Ok(Err(UpstreamError::NoAnswer(cause))) => {
                guard.finish(AttemptOutcome::Failed);
                log::warn!(request:% = self.info.id, server:% = server.id, cause; "no answer, but other bytes");
                ("no_answer", SendOutcome::Failed("what the server sent is no answer"))
            }
            Ok(Ok(answer)) => self.classify_head(choice, answer, guard),
        };
        node.metrics.sends.get_or_create(&KindLabel { kind: result }).inc();
        outcome
    }

    /// Returns how long the request can wait for room at a brittle server, and how long it may be there.
    fn room_times(&self, choice: &Choice) -> (Duration, Duration) {
        let now = self.request_time();
        let left = self.admission_time(now).saturating_sub(choice.estimate);
        (left.min(MAX_ROOM_WAIT), self.answer_by.saturating_duration_since(now))
    }

    /// Builds the request for the server once a connection is open; returns `None` if it may no
    /// longer be sent. The machine may have been suspended since the server was chosen without a
    /// timer showing it: the client's deadline may have passed, its key may have been revoked, the
    /// server may be gone. A single clock reading is used for all checks, so that no time passes
    /// between them.
    fn build_request(
        &self,
        choice: &Choice,
        permit: Option<Permit>,
        after_event: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let now = self.node.now();
        let request_time = self.request_time_at(now);
        let is_recent = now.since(choice.at) <= MAX_CHOICE_AGE;
        let may_send = is_recent && self.is_key_valid(now) && self.may_pass_quarantine();
        if !may_send
            || request_time >= self.answer_by
            || !self.may_send_to(&choice.server, permit, now)
        {
            return None;
        }
        if let Some(trial) = self.trial.lock().as_mut() {
            trial.mark_sent();
        }
        let attempt = Attempt {
            server: &choice.server.entry,
            time_left: self
                .deadline
                .map(|deadline| deadline.saturating_duration_since(request_time)),
            priority: self.rank(),
            account: self.account.as_ref().map(|account| &account.name),
            after_event,
        };
        Some(self.node.ports.servers.request(&self.head, self.body.clone(), &attempt))
    }

    /// Returns whether the request may still be sent to the server. Since the choice, its hall may
    /// have been evacuated, it may have named a limit or asked this box to back off, or it may have
    /// become cold.
    fn may_send_to(&self, server: &KnownServer, permit: Option<Permit>, now: Moment) -> bool {
        let is_evacuated = self.node.evacuations.lock().is_evacuated(&server.entry.hall);
        !is_evacuated
            && self.node.notices.lock().admits(&server.entry.id, permit, now)
            && cold::reserve(&self.node, self.cold_start(), server, now)
    }

    /// Returns the maximum idle time of a pooled connection for this request.
    fn max_idle(&self) -> Duration {
        let repeats = self.route.is_idempotent() && self.route.max_attempts > 1;
        let max_idle = match self.saw_silence.load(Ordering::Relaxed) {
            true => Duration::ZERO,
            false if repeats => MAX_IDLE_REPEATABLE,
            false => MAX_IDLE_ONCE,
        };
        // A connection from before a cut may carry nothing.
        match self.node.reach.lock().failing_since() {
            Some(since) => max_idle.min(self.node.now().since(since)),
            None => max_idle,
        }
    }

    /// Returns what a connection for this request is for.
    fn purpose(&self) -> Purpose<'_> {
        let account = self.account.as_ref().and_then(|account| account.regions.as_ref());
        Purpose { request: self.info.id.as_str(), regions: [self.route.regions.as_ref(), account] }
    }

    /// Records that a server fell silent. The fault may lie with its connection, and other
    /// connections of the same age may be affected, so this request only uses new connections from
    /// now on.
    pub fn record_silence(&self) {
        self.saw_silence.store(true, Ordering::Relaxed);
    }

    /// Classifies the head of an answer.
    fn classify_head(
        &self,
        choice: &Choice,
        answer: UpstreamAnswer,
        mut guard: SendGuard,
    ) -> (&'static str, SendOutcome) {
        let node = &self.node;
        let server = &choice.server.entry.id;
        let head = node.ports.servers.read_head(&answer.head);
        let status = answer.head.status;
        // A pooled connection may first yield a surplus answer to an earlier request. An answer
        // that names no request could be one of those, so it says nothing about this request.
        let is_ours = match &head.request {
            Some(id) => *id == self.info.id,
            None => answer.is_first,
        };
        let source = NoticeSource { sent: choice.at, is_answer: is_ours && head.signed };
        notices::observe_head(node, &choice.server, &head, source, self.info.id.as_str());
        if let (Some(ip), Some(wait)) = (answer.carried_by, head.notice.back_off) {
            // To the server, the box that carried the request sent it.
            node.notice_outbox.add_back_off(ip, server, wait);
        }
        if !is_ours {
            guard.finish(AttemptOutcome::Failed);
            let other = head.request.as_ref().map_or("", RequestId::as_str);
            log::warn!(request:% = self.info.id, server:%, other; "answer to another request");
            return ("other_request", SendOutcome::Failed("the server answered another request"));
        }
        if let Some(load) = head.load {
            guard.pace = load.pace;
            if load.pace.is_some() {
                node.engine_loads.mark_uneven(&self.service);
            }
            node.loads.lock().apply_report(server, load, node.now());
        }
        if head.not_run || head.misdirected {
            let own_key = &choice.server.entry.key;
            let replaced =
                head.misdirected && head.instance.as_ref().is_some_and(|key| key != own_key);
            if head.misdirected {
                // It says nothing about the server's room.
                guard.room = None;
            }
            guard.finish(if replaced { AttemptOutcome::Replaced } else { AttemptOutcome::Refused });
            if replaced {
                crashes::server_ended(node, server, "another run answers at its address");
            }
            if head.misdirected && !replaced {
                self.record_withdrawn(choice);
            }
            let status = status.as_u16();
            let misdirected = head.misdirected;
            let request = &self.info.id;
            log::info!(request:%, server:%, status, misdirected, replaced; "server refused");
            return match replaced {
                true => ("ended", SendOutcome::IncarnationEnded),
                false => ("refused", SendOutcome::Refused),
            };
        }
        if status.is_success() && !head.signed {
            guard.finish(AttemptOutcome::Failed);
            log::warn!(request:% = self.info.id, server:%; "answer lacks the server's signature");
            return ("unsigned", SendOutcome::Failed("the answer is not the server's"));
        }
        guard.has_own_end = answer.body_end() == BodyEnd::Stated;
        ("answered", SendOutcome::Answer(Box::new(answer), Box::new(guard)))
    }

    /// Records that the server lacks an item that its row lists.
    fn record_withdrawn(&self, choice: &Choice) {
        let Some(item) = &self.info.model else {
            return;
        };
        let (server, now) = (&choice.server.entry.id, self.node.now());
        self.node.overlay.lock().record(server, item, EntryKind::Withdrawn, now);
    }

    fn begin_send(&self, chosen: &Chosen, room: Option<RoomGrant>) -> SendGuard {
        let choice = &chosen.choice;
        let node = self.node.clone();
        let (now, was_cut_off) = (node.now(), node.is_cut_off());
        let id = &choice.server.entry.id;
        let model = self.info.model.as_ref().map(|item| &item.model);
        let work = self.info.work(choice.cached_tokens, self.rank());
        let slots = choice.server.entry.slots.max(1);
        let mut tracked = node.loads.lock().begin(id, slots, model, work, now);
        tracked.set_estimate(choice.estimate, chosen.answer_weight);
        if !self.prefixes.is_empty() {
            node.prompt_memory.lock().record_prefill(&self.prefixes, id, now);
        }
        let item = self.info.model.clone();
        if let Some(item) = &item {
            node.adapter_use.lock().begin(id, item);
        }
        SendGuard {
            node,
            tracked: Some(tracked),
            item,
            request: self.info.id.clone(),
            suspects: self.suspects.clone(),
            server: choice.server.clone(),
            first_event_at: None,
            has_own_end: false,
            room,
            declared: self.declare(choice),
            pace: None,
            was_cut_off,
        }
    }

    fn log_send(&self, chosen: &Chosen, expected_ms: f64, resumes: bool) {
        let Chosen { choice, load, .. } = chosen;
        let known = &choice.server;
        let now = self.node.now();
        let age = |moment: Moment| now.since(moment).as_millis() as u64;
        let list = self.node.directory.lock().newest_version();
        let list_age = self.node.feed_state.lock().silence(FeedKind::Servers, now);
        log::info!(
            request:% = self.info.id,
            fingerprint:% = self.fingerprint(),
            parts = self.logged_parts(),
            route = self.route.name,
            config = self.config.version,
            server:% = known.entry.id,
            row = known.version,
            row_age_ms = age(known.learned_at),
            list,
            list_age_ms = list_age.map_or(-1, |age| age.as_millis() as i64),
            expected_ms = expected_ms as u64,
            requests = choice.requests,
            waiting = choice.waiting,
            cached = choice.cached_tokens,
            counted_ms = load.map(|load| load.counted_ms),
            prefill_ahead_ms = load.map(|load| load.prefill_ahead_ms),
            slowness = load.map(|load| f64::from(load.slowness)),
            resumes;
            "request sent"
        );
    }
}
