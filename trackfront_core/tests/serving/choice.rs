//! Choice of the server for a request.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::{BackendId, HallName, RegionName};
use trackfront_core::serving::affinity::{PrefixIndex, prefixes};
use trackfront_core::serving::choice::{
    Candidate, Choice, NoChoice, Query, ServerView, Unavailable, UnavailableCause, choose,
    shortlist,
};
use trackfront_core::serving::cold::ColdState;
use trackfront_core::serving::directory::{KnownServer, ServerEntry, ServerState};
use trackfront_core::serving::halls::{AllowedHalls, Evacuations, HallStatus};
use trackfront_core::serving::load::{AttemptOutcome, LoadTracker, ReportedLoad, Work};
use trackfront_core::serving::request::{ModelRef, PromptPart, RequestInfo};
use trackfront_core::units::Moment;

use super::support::{at, entry, info, item, known, with_adapter};

/// State of servers beside their rows, and open connections.
#[derive(Default)]
pub struct TestView {
    withdrawn: HashSet<(String, ModelRef)>,
    added: HashSet<(String, ModelRef)>,
    connected: HashSet<String>,
    cold_states: HashMap<String, ColdState>,
    unavailable: HashMap<String, Unavailable>,
    leaving: HashMap<String, Moment>,
}

impl ServerView for TestView {
    fn is_withdrawn(&self, server: &BackendId, item: &ModelRef) -> bool {
        self.withdrawn.contains(&(server.to_string(), item.clone()))
    }

    fn is_added(&self, server: &BackendId, item: &ModelRef) -> bool {
        self.added.contains(&(server.to_string(), item.clone()))
    }

    fn is_connected(&self, address: &str) -> bool {
        self.connected.contains(address)
    }

    fn cold_state(&self, server: &KnownServer) -> ColdState {
        self.cold_states.get(server.entry.id.as_str()).copied().unwrap_or(ColdState::Warm)
    }

    fn leaving_since(&self, server: &BackendId) -> Option<Moment> {
        self.leaving.get(server.as_str()).copied()
    }

    fn unavailable(&self, server: &KnownServer) -> Option<Unavailable> {
        let server = &server.entry.id;
        self.unavailable.get(server.as_str()).copied()
    }
}

pub struct Case {
    servers: Vec<ServerEntry>,
    info: RequestInfo,
    loads: LoadTracker,
    cached_prefixes: PrefixIndex,
    view: TestView,
    tried: Vec<BackendId>,
    evacuations: Evacuations,
    regions: BTreeMap<HallName, RegionName>,
    bounds: [Option<BTreeSet<RegionName>>; 2],
    now: u64,
}

pub fn case(servers: Vec<ServerEntry>, info: RequestInfo) -> Case {
    Case {
        servers,
        info,
        loads: LoadTracker::default(),
        cached_prefixes: PrefixIndex::default(),
        view: TestView::default(),
        tried: Vec::new(),
        evacuations: Evacuations::default(),
        regions: BTreeMap::new(),
        bounds: [None, None],
        now: 0,
    }
}

impl Case {
    pub fn loads(&mut self) -> &mut LoadTracker {
        &mut self.loads
    }

    pub fn set_now(&mut self, now: u64) {
        self.now = now;
    }

    pub fn choose(&mut self) -> Result<Choice, NoChoice> {
        self.choose_among(&known(self.servers.clone()))
    }

    pub fn choose_among(&mut self, servers: &[Arc<KnownServer>]) -> Result<Choice, NoChoice> {
        self.decide(|query, loads, cached, view| choose(query, servers, loads, cached, view))
    }

    pub fn shortlist(&mut self, rng: &mut impl Rng) -> Result<Vec<Candidate>, NoChoice> {
        let servers = known(self.servers.clone());
        self.decide(|query, loads, cached, view| {
            shortlist(query, &servers, loads, cached, view, rng)
        })
    }

    fn decide<T>(
        &mut self,
        decision: impl FnOnce(&Query<'_>, &mut LoadTracker, &PrefixIndex, &TestView) -> T,
    ) -> T {
        let found = self.info.model.as_ref().map(|model| prefixes(model, &self.info.prompt));
        let query = Query {
            info: &self.info,
            prefixes: &found.unwrap_or_default(),
            rank: 1,
            tried: &self.tried,
            software: None,
            hall: &"a".into(),
            allowed_halls: AllowedHalls {
                evacuations: &self.evacuations,
                regions: &self.regions,
                bounds: [self.bounds[0].as_ref(), self.bounds[1].as_ref()],
            },
            drain_grace: Duration::from_millis(800),
            drain_end: Duration::from_millis(2_000),
            now: at(self.now),
        };
        decision(&query, &mut self.loads, &self.cached_prefixes, &self.view)
    }

    fn chosen(&mut self) -> String {
        self.choose().expect("a server").server.entry.id.to_string()
    }

    fn add_load(&mut self, id: &str, prompt_tokens: u32) {
        let work = Work { prompt_tokens, output_tokens: 1, rank: 1 };
        let model = self.info.model.as_ref().map(|item| item.model.clone());
        let _ = self.loads.begin(&id.into(), 4, model.as_ref(), work, at(self.now));
    }
}

#[test]
fn engine_with_least_prefill_ahead_is_chosen() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"]), entry("z", &["n"])];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    case.add_load("x", 2_000);
    assert_eq!(case.chosen(), "y");
    case.add_load("y", 9_000);
    assert_eq!(case.chosen(), "x");
}

#[test]
fn cached_prompt_saves_its_prefill_and_no_more() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    case.info.prompt = vec![PromptPart { id: 1, tokens: 900 }];
    let found = prefixes(&item("m", None), &case.info.prompt);
    case.cached_prefixes.record_prefill(&found, &"y".into(), at(0));
    case.add_load("y", 500);
    assert_eq!(case.chosen(), "y");
    case.add_load("y", 2_000);
    assert_eq!(case.chosen(), "x");
}

#[test]
fn open_connection_breaks_tie() {
    let servers = vec![entry("x", &["m"]), entry("yy", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    let address = case.servers[1].address.clone();
    case.view.connected.insert(address);
    assert_eq!(case.chosen(), "yy");
    case.add_load("yy", 1_000);
    assert_eq!(case.chosen(), "x");
}

#[test]
fn reported_reason_is_the_closest_to_a_choice() {
    let mut missing = case(vec![entry("x", &["n"])], info(Some(item("m", None)), 1));
    assert_eq!(missing.choose().unwrap_err(), NoChoice::NoModel);
    let mut adapter = case(vec![entry("x", &["m"])], info(Some(item("m", Some("a1"))), 1));
    assert_eq!(adapter.choose().unwrap_err(), NoChoice::NoAdapter);
    adapter.view.added.insert(("x".into(), item("m", Some("a1"))));
    assert_eq!(adapter.chosen(), "x");
    adapter.tried.push("x".into());
    assert_eq!(adapter.choose().unwrap_err(), NoChoice::AllTried);
    let mut refused = case(vec![entry("x", &["m"]), entry("y", &["n"])], info(None, 1));
    refused.info.model = Some(item("m", None));
    refused.tried.push("x".into());
    assert_eq!(refused.choose().unwrap_err(), NoChoice::AllTried, "x has the model loaded");
    refused.tried = vec!["y".into()];
    refused.servers.remove(0);
    assert_eq!(refused.choose().unwrap_err(), NoChoice::NoModel, "y does not have it");
}

#[test]
fn withdrawn_item_gets_no_new_requests() {
    let mut server = entry("x", &["m"]);
    server.models = with_adapter(server.models, "m", "a1");
    let mut case = case(vec![server], info(Some(item("m", Some("a1"))), 1));
    assert_eq!(case.chosen(), "x");
    case.view.withdrawn.insert(("x".into(), item("m", Some("a1"))));
    assert_eq!(case.choose().unwrap_err(), NoChoice::NoAdapter);
    case.view.withdrawn.insert(("x".into(), item("m", None)));
    assert_eq!(case.choose().unwrap_err(), NoChoice::NoModel);
}

#[test]
fn draining_server_is_last_resort_within_grace_period() {
    let mut leaving = entry("x", &["m"]);
    let ready = leaving.clone();
    leaving.state = ServerState::Draining { remaining: None };
    let mut case = case(vec![leaving.clone()], info(Some(item("m", None)), 1));
    assert_eq!(
        case.choose().unwrap_err(),
        NoChoice::NoServer,
        "it may have been draining for long"
    );
    case.servers = vec![ready, leaving];
    assert_eq!(case.chosen(), "x");
    case.servers.push(entry("y", &["m"]));
    case.add_load("y", 50_000);
    assert_eq!(case.chosen(), "y", "any server that stays is preferred");
    case.servers.truncate(2);
    case.now = 801;
    assert_eq!(case.choose().unwrap_err(), NoChoice::NoServer);
}

#[test]
fn draining_server_gets_nothing_if_learned_too_late() {
    let mut leaving = entry("x", &["m"]);
    let ready = leaving.clone();
    leaving.state = ServerState::Draining { remaining: None };
    let mut case = case(vec![ready, leaving], info(Some(item("m", None)), 1));
    // The list of servers was last confirmed 2 s earlier, so the drain may have begun then.
    let mut servers = known(case.servers.clone());
    Arc::make_mut(&mut servers[0]).draining_since = Some(at(2_000));
    case.now = 2_000;
    assert_eq!(case.choose_among(&servers).unwrap_err(), NoChoice::NoServer);
    case.now = 1_999;
    assert!(case.choose_among(&servers).is_ok());
}

#[test]
fn replaced_engine_is_never_chosen() {
    let mut case = case(vec![entry("x", &["m"])], info(Some(item("m", None)), 1));
    let work = Work::default();
    let tracked = case.loads.begin(&"x".into(), 4, None, work, at(0));
    case.loads.end(tracked, AttemptOutcome::Replaced, at(0));
    case.now = 60_000;
    assert_eq!(case.choose().unwrap_err(), NoChoice::NoServer);
}

#[test]
fn failing_and_unreachable_servers_are_avoided_while_others_can_answer() {
    let plain = |id: &str| ServerEntry { models: Default::default(), ..entry(id, &[]) };
    let mut case = case(vec![plain("x"), plain("y")], info(None, 0));
    for _ in 0..5 {
        let tracked = case.loads.begin(&"x".into(), 4, None, Work::default(), at(0));
        case.loads.end(tracked, AttemptOutcome::Failed, at(0));
    }
    assert_eq!(case.chosen(), "y");
    case.loads.mark_unreachable(&"y".into(), at(0));
    assert_eq!(case.chosen(), "x", "a failing server is better than an unreachable one");
    case.tried.push("x".into());
    assert_eq!(case.chosen(), "y", "an unreachable server is better than none");
}

#[test]
fn own_hall_is_preferred_until_it_is_busier() {
    let far = ServerEntry { hall: "b".into(), ..entry("x", &["m"]) };
    let near = entry("yy", &["m"]);
    let mut case = case(vec![far, near], info(Some(item("m", None)), 1_000));
    assert_eq!(case.chosen(), "yy");
    case.add_load("yy", 1_000);
    assert_eq!(case.chosen(), "x");
}

#[test]
fn free_slot_outweighs_less_prefill() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    // All four slots of x are taken for a second each; y has more prefill ahead, and free slots.
    let long = Work { prompt_tokens: 0, output_tokens: 100, rank: 1 };
    for _ in 0..4 {
        for id in ["x", "y"] {
            let _ = case.loads.begin(&id.into(), 4, Some(&"m".into()), long, at(0));
        }
    }
    case.add_load("y", 500);
    case.servers[1].slots = 8;
    assert_eq!(case.chosen(), "y");
    case.servers[0].slots = 8;
    assert_eq!(case.chosen(), "x", "with free slots at both, the prefill decides");
}

fn in_hall(id: &str, hall: &str) -> ServerEntry {
    ServerEntry { hall: hall.into(), ..entry(id, &["m"]) }
}

fn regions(names: &[&str]) -> Option<BTreeSet<RegionName>> {
    Some(names.iter().map(|name| RegionName::from(*name)).collect())
}

#[test]
fn evacuated_hall_gets_nothing_until_it_is_used_again() {
    let servers = vec![in_hall("x", "a"), in_hall("y", "b")];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    case.add_load("y", 9_000);
    assert_eq!(case.chosen(), "x");
    let status = |version: u64, is_evacuated| HallStatus {
        hall: "a".into(),
        version: version.into(),
        is_evacuated,
    };
    case.evacuations.apply(&status(5, true), at(0));
    assert_eq!(case.chosen(), "y");
    case.evacuations.apply(&status(4, false), at(0));
    assert_eq!(case.chosen(), "y", "a late report of an earlier version changes nothing");
    case.evacuations.apply(&HallStatus { hall: "b".into(), ..status(6, true) }, at(0));
    assert_eq!(case.choose().unwrap_err(), NoChoice::NotAllowed);
    case.evacuations.apply(&status(7, false), at(0));
    assert_eq!(case.chosen(), "x");
}

#[test]
fn region_bounds_of_route_and_account_both_apply() {
    let servers = vec![in_hall("x", "a"), in_hall("y", "b"), in_hall("z", "unknown")];
    let mut case = case(servers, info(Some(item("m", None)), 1_000));
    case.regions = BTreeMap::from([("a".into(), "north".into()), ("b".into(), "south".into())]);
    case.bounds[0] = regions(&["south"]);
    assert_eq!(case.chosen(), "y");
    case.tried.push("y".into());
    assert_eq!(case.choose().unwrap_err(), NoChoice::AllTried, "x and z are outside the region");
    case.tried.clear();
    case.bounds = [regions(&["north", "south"]), regions(&["north"])];
    assert_eq!(case.chosen(), "x");
    case.bounds = [regions(&["south"]), regions(&["north"])];
    assert_eq!(case.choose().unwrap_err(), NoChoice::NotAllowed, "both bounds apply");
}

#[test]
fn cold_server_is_last_and_gets_no_more_than_its_rate() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 100));
    case.view.cold_states.insert("x".into(), ColdState::Admitting);
    assert_eq!(case.chosen(), "y");
    case.add_load("y", 9_000);
    assert_eq!(case.chosen(), "x", "the other has much prefill ahead");
    case.view.cold_states.insert("x".into(), ColdState::Blocked(at(900)));
    assert_eq!(case.chosen(), "y");
    case.view.cold_states.insert("y".into(), ColdState::Blocked(at(700)));
    let first =
        NoChoice::Unavailable(Unavailable { until: at(700), cause: UnavailableCause::Cold });
    assert_eq!(case.choose().unwrap_err(), first, "the first that becomes warm");
}

#[test]
fn server_at_its_limit_is_skipped_and_earliest_retry_is_reported() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"]), entry("z", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 100));
    let unavailable = |ms, cause| Unavailable { until: at(ms), cause };
    case.view.unavailable.insert("x".into(), unavailable(900, UnavailableCause::Limited));
    assert_eq!(case.chosen(), "y");
    case.view.unavailable.insert("y".into(), unavailable(400, UnavailableCause::Limited));
    case.view.cold_states.insert("z".into(), ColdState::Blocked(at(700)));
    let first = NoChoice::Unavailable(unavailable(400, UnavailableCause::Limited));
    assert_eq!(case.choose().unwrap_err(), first, "the first that accepts one again");
}

/// A row that still says ready, or that says only later that the server drains, must not override the server's own
/// notice that it leaves.
#[test]
fn leaving_server_is_last_resort_within_grace_period() {
    let servers = vec![entry("x", &["m"]), entry("y", &["m"])];
    let mut case = case(servers, info(Some(item("m", None)), 100));
    case.view.leaving.insert("x".into(), at(0));
    case.now = 100;
    case.add_load("y", 9_000);
    assert_eq!(case.chosen(), "y", "it stays, however busy");
    case.tried.push("y".into());
    assert_eq!(case.chosen(), "x", "no other can answer");
    case.now = 800;
    assert_eq!(case.choose().unwrap_err(), NoChoice::AllTried, "the grace period is over");
    case.servers[0].state = ServerState::Draining { remaining: None };
    assert_eq!(
        case.choose().unwrap_err(),
        NoChoice::AllTried,
        "a later row does not extend the grace period"
    );
}

/// A server on a shared machine is slow for a moment and reports its pace in each answer.
#[test]
fn server_with_slow_pace_is_avoided_while_report_is_recent() {
    let servers = vec![entry("x", &[]), entry("y", &[])];
    let mut case = case(servers, info(None, 0));
    for id in ["x", "y"] {
        let tracked = case.loads.begin(&id.into(), 4, None, Work::default(), at(0));
        case.loads.end(tracked, AttemptOutcome::Answered, at(30));
    }
    case.now = 100;
    assert_eq!(case.chosen(), "x", "both have equal cost");
    let report = |pace| ReportedLoad { running: 0, waiting: 0, slots: 4, pace: Some(pace) };
    case.loads.apply_report(&"x".into(), report(250), at(100));
    case.loads.apply_report(&"y".into(), report(100), at(100));
    assert_eq!(case.chosen(), "y");
    case.now = 1_000;
    assert_eq!(case.chosen(), "x", "the report has expired");
}

/// Returns the identifiers of 200 shortlists.
fn shortlists(case: &mut Case) -> Vec<Vec<String>> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let id = |candidate: &Candidate| candidate.choice.server.entry.id.to_string();
    let ids = |listed: Vec<Candidate>| listed.iter().map(id).collect();
    (0..200).map(|_| ids(case.shortlist(&mut rng).expect("a server"))).collect()
}

fn idle_engines(count: usize) -> Case {
    let servers = (0..count).map(|number| in_hall(&format!("s{number}"), "a"));
    case(servers.collect(), info(Some(item("m", None)), 1_000))
}

#[test]
fn shortlist_begins_with_the_engine_that_has_the_prompt() {
    let mut case = idle_engines(8);
    case.info.prompt = vec![PromptPart { id: 1, tokens: 900 }];
    let found = prefixes(&item("m", None), &case.info.prompt);
    case.cached_prefixes.record_prefill(&found, &"s5".into(), at(0));
    assert!(shortlists(&mut case).iter().all(|ids| ids.len() == 3 && ids[0] == "s5"));
}

/// Boxes that know nothing of the load would else all ask for the same engines.
#[test]
fn shortlists_of_boxes_that_know_the_same_differ() {
    let mut firsts: HashMap<String, usize> = HashMap::new();
    let mut others: HashMap<String, usize> = HashMap::new();
    for ids in shortlists(&mut idle_engines(8)) {
        assert_eq!(ids.iter().collect::<HashSet<_>>().len(), 3, "no server twice");
        *firsts.entry(ids[0].clone()).or_default() += 1;
        ids[1..].iter().for_each(|id| *others.entry(id.clone()).or_default() += 1);
    }
    // An even share of 200 would be 25, and 50 of the others.
    assert!(firsts.len() == 8 && firsts.values().all(|&count| count < 50), "{firsts:?}");
    assert!(others.len() == 8 && others.values().all(|&count| count < 100), "{others:?}");
}

#[test]
fn shortlist_stays_in_the_own_hall_while_it_has_others() {
    let mut case = idle_engines(3);
    case.servers.extend(["far1", "far2", "far3"].map(|id| in_hall(id, "b")));
    let near = |id: &String| id.starts_with('s');
    assert!(shortlists(&mut case).iter().all(|ids| ids.len() == 3 && ids.iter().all(near)));
    case.servers.drain(1..3);
    let lists = shortlists(&mut case);
    assert!(
        lists.iter().all(|ids| ids.len() == 3 && ids.iter().filter(|id| near(id)).count() == 1)
    );
}

#[test]
fn shortlist_has_servers_that_leave_or_do_not_answer_only_if_no_other_can() {
    let mut case = idle_engines(3);
    case.view.leaving.insert("s0".into(), at(0));
    case.loads.mark_unreachable(&"s1".into(), at(0));
    assert!(shortlists(&mut case).iter().all(|ids| *ids == ["s2"]));
    case.tried.push("s2".into());
    assert!(shortlists(&mut case).iter().all(|ids| *ids == ["s0", "s1"]));
}

#[test]
fn shortlist_has_no_server_that_may_get_nothing_now() {
    let mut case = idle_engines(3);
    let full = Unavailable { until: at(400), cause: UnavailableCause::Full };
    case.view.cold_states.insert("s0".into(), ColdState::Blocked(at(900)));
    case.view.unavailable.insert("s1".into(), full);
    assert!(shortlists(&mut case).iter().all(|ids| *ids == ["s2"]));
    case.tried.push("s2".into());
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    assert_eq!(case.shortlist(&mut rng).unwrap_err(), case.choose().unwrap_err());
    assert_eq!(case.choose().unwrap_err(), NoChoice::AllTried);
}

#[test]
fn first_of_shortlist_is_what_choose_finds() {
    let mut case = idle_engines(4);
    for (number, tokens) in [3_000, 2_000, 500, 900].into_iter().enumerate() {
        case.add_load(&format!("s{number}"), tokens);
    }
    let chosen = case.choose().expect("a server");
    let first = case.shortlist(&mut ChaCha8Rng::seed_from_u64(7)).expect("a server").remove(0);
    assert_eq!(first.choice.server.entry.id, chosen.server.entry.id);
    assert_eq!((first.choice.estimate, first.choice.requests), (chosen.estimate, chosen.requests));
}
