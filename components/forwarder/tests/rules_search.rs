//! Exhaustive search: two processes take configuration and evacuations from the store and from each
//! other, in every order, with late lists and restarts.

use std::collections::{
    HashSet,
    VecDeque, //
};

use carobdrum_core::Millis;
use carobdrum_flows::version::SiteConfig;
use carobdrum_forwarder::{
    ConfigTracker, //
    KeyEvent,
};
use carobdrum_platform::{
    evacuation_key,
    StoreChange,
    StoreItem,
    StoreListing, //
};

const CENTRE: &str = "north";
const CONFIG: &str = "op/config";

/// What the operator does at each revision of the store, from 1.
const HISTORY: [OperatorStep; 5] = [
    OperatorStep::Version(1),
    OperatorStep::Close,
    OperatorStep::Open,
    OperatorStep::Close,
    OperatorStep::Version(2),
];

const PROCESSES: usize = 2;

/// Most news that each process takes after a start; it bounds the search.
const MAX_NEWS: [usize; PROCESSES] = [3, 2];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorStep {
    Version(u64),
    Close,
    Open,
}

/// One thing that a process was told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum News {
    /// A list, read at this revision.
    List(u64),
    /// The change of this revision.
    Change(u64),
    /// What the other process knew after its own news.
    Peer(Vec<News>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ProcessState {
    /// News since the start, from which the feed is made.
    news: Vec<News>,
    /// Revision at which a list was read that has not arrived yet.
    reading: Option<u64>,
    /// Revision up to which the watch has told of changes; none before the first list.
    watched: Option<u64>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SiteState {
    revision: u64,
    processes: [ProcessState; PROCESSES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SiteAction {
    Operate,
    Read(usize),
    ListArrives(usize),
    ChangeArrives(usize),
    AskPeer(usize),
    Restart(usize),
}

fn config_item(version: u64, revision: u64) -> StoreItem {
    let value = format!(
        r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"IdleTimeoutMs":1000}}}}"#
    );
    StoreItem {
        key: CONFIG.into(),
        value: value.into(),
        revision,
    }
}

fn closing_item(revision: u64) -> StoreItem {
    StoreItem {
        key: evacuation_key(CENTRE),
        value: b"{}".to_vec(),
        revision,
    }
}

/// Returns the items of the store at a revision.
fn store_at(revision: u64) -> Vec<StoreItem> {
    let mut config = None;
    let mut closing = None;
    for (index, step) in HISTORY.iter().take(revision as usize).enumerate() {
        let revision = index as u64 + 1;
        match step {
            OperatorStep::Version(version) => config = Some(config_item(*version, revision)),
            OperatorStep::Close => closing = Some(closing_item(revision)),
            OperatorStep::Open => closing = None,
        }
    }
    config.into_iter().chain(closing).collect()
}

fn change_at(revision: u64) -> StoreChange {
    match HISTORY[revision as usize - 1] {
        OperatorStep::Version(version) => StoreChange::Put(config_item(version, revision)),
        OperatorStep::Close => StoreChange::Put(closing_item(revision)),
        OperatorStep::Open => StoreChange::Deleted(evacuation_key(CENTRE), revision),
    }
}

/// Returns the feed of a process that was told these news, and whether its data centre is out and
/// which version it has.
fn replay(news: &[News]) -> (ConfigTracker, Option<(bool, u64)>) {
    let mut tracker = ConfigTracker::default();
    let mut state = None;
    for one in news {
        let config = match one {
            News::List(revision) => {
                let listing = StoreListing {
                    items: store_at(*revision),
                    revision: *revision,
                };
                tracker.take(KeyEvent::All(listing), *revision)
            }
            News::Change(revision) => {
                tracker.take(KeyEvent::Changes(vec![change_at(*revision)]), 0)
            }
            News::Peer(news) => match replay_config(news) {
                Some(config) => tracker.apply_config(config),
                None => None,
            },
        };
        if let Some(config) = config {
            state = Some((config.is_evacuated(CENTRE), config.version));
        }
    }
    (tracker, state)
}

fn replay_config(news: &[News]) -> Option<SiteConfig> {
    let (tracker, state) = replay(news);
    let (closed, version) = state?;
    let mut config = SiteConfig::new(version, Millis(1_000), [], []);
    config.revision = tracker.revision();
    if closed {
        config.set_evacuated_centres([CENTRE.into()]);
    }
    Some(config)
}

/// Returns the newest revision that a process was told of.
fn told(news: &[News]) -> u64 {
    let newest = news.iter().map(|one| match one {
        News::List(revision) | News::Change(revision) => *revision,
        News::Peer(news) => told(news),
    });
    newest.max().unwrap_or(0)
}

impl SiteState {
    fn actions(&self) -> Vec<SiteAction> {
        let mut actions = Vec::new();
        if (self.revision as usize) < HISTORY.len() {
            actions.push(SiteAction::Operate);
        }
        for (index, process) in self.processes.iter().enumerate() {
            if process.reading.is_some() {
                actions.push(SiteAction::ListArrives(index));
            }
            if process.news.len() == MAX_NEWS[index] {
                continue;
            }
            if process.reading.is_none() {
                actions.push(SiteAction::Read(index));
            }
            if process
                .watched
                .is_some_and(|watched| watched < self.revision)
            {
                actions.push(SiteAction::ChangeArrives(index));
            }
            actions.push(SiteAction::AskPeer(index));
            if process.restarts == 0 && index == 0 && !process.news.is_empty() {
                actions.push(SiteAction::Restart(index));
            }
        }
        actions
    }

    /// Returns the state after an action, if it changes anything.
    fn next(&self, action: SiteAction) -> Option<SiteState> {
        let mut state = self.clone();
        match action {
            SiteAction::Operate => state.revision += 1,
            // A follower makes one call at a time.
            SiteAction::Read(index) => {
                let process = &mut state.processes[index];
                process.reading = Some(self.revision);
                process.watched = None;
            }
            SiteAction::ListArrives(index) => {
                let process = &mut state.processes[index];
                let revision = process.reading.take()?;
                if process.news.len() < MAX_NEWS[index] {
                    process.news.push(News::List(revision));
                    process.watched = Some(revision);
                }
            }
            SiteAction::ChangeArrives(index) => {
                let process = &mut state.processes[index];
                let revision = process.watched? + 1;
                process.news.push(News::Change(revision));
                process.watched = Some(revision);
            }
            SiteAction::AskPeer(index) => {
                let peer = self.processes[1 - index].news.clone();
                replay(&peer).1?;
                state.processes[index].news.push(News::Peer(peer));
            }
            SiteAction::Restart(index) => {
                state.processes[index] = ProcessState {
                    restarts: 1,
                    ..ProcessState::default()
                };
            }
        }
        Some(state)
    }
}

impl ProcessState {
    /// Checks that the newest state that the process was told of is in force, at the least.
    fn check(&self) {
        let (tracker, known) = replay(&self.news);
        let newest = store_at(told(&self.news));
        assert!(tracker.revision() <= told(&self.news), "{self:?}");
        let Some((closed, version)) = known else {
            return;
        };
        let is_out = newest.iter().any(|item| item.key != CONFIG);
        assert!(closed || !is_out, "evacuation put back: {self:?}");
        let expected = newest.iter().find(|item| item.key == CONFIG);
        let matches = |item: &StoreItem| *item == config_item(version, item.revision);
        assert!(expected.is_none_or(matches), "version put back: {self:?}");
    }

    fn knows_all(&self) -> bool {
        told(&self.news) == HISTORY.len() as u64
    }
}

/// Guards against an evacuation or a version that is put back by news which come late, in any order of
/// lists, changes, answers of the other process and restarts.
#[test]
fn no_order_of_news_puts_an_older_state_back() {
    let first = SiteState {
        revision: 1,
        processes: Default::default(),
    };
    let mut found = HashSet::from([first.clone()]);
    let mut waiting = VecDeque::from([first]);
    let mut complete = 0;
    while let Some(state) = waiting.pop_front() {
        state.processes.iter().for_each(ProcessState::check);
        complete += usize::from(state.processes.iter().all(ProcessState::knows_all));
        for next in state
            .actions()
            .into_iter()
            .filter_map(|action| state.next(action))
        {
            if found.insert(next.clone()) {
                waiting.push_back(next);
            }
        }
    }
    println!("{} states, {complete} with all news", found.len());
    assert!(found.len() > 10_000);
    assert!(complete > 0);
}
