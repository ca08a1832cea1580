//! Exhaustive search: two processes get configuration and evacuations from the store and from each
//! other, in every order, with delayed lists and restarts.

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
const FLOW_LIFETIME: Millis = Millis(60_000);
const NOW: Millis = Millis(0);
const CONFIG: &str = "op/config";

/// Step of the operator at each revision of the store, from 1.
const HISTORY: [OperatorStep; 5] = [
    OperatorStep::Version(1),
    OperatorStep::Evacuate,
    OperatorStep::EndEvacuation,
    OperatorStep::Evacuate,
    OperatorStep::Version(2),
];

const PROCESSES: usize = 2;

/// Limit of the events that each process gets after a start; it bounds the search.
const MAX_EVENTS: [usize; PROCESSES] = [3, 2];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorStep {
    Version(u64),
    Evacuate,
    EndEvacuation,
}

/// An event that a process has applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    /// A list that was read at this revision.
    List(u64),
    /// The change at this revision.
    Change(u64),
    /// The configuration of the other process after these events.
    Peer(Vec<Event>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ProcessState {
    /// Events since the start, from which the tracker is rebuilt.
    events: Vec<Event>,
    /// Revision at which a list was read that hasn't arrived yet.
    reading: Option<u64>,
    /// Revision up to which the watch has delivered changes; `None` before the first list.
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
        lease: 0,
    }
}

fn evacuation_item(revision: u64) -> StoreItem {
    StoreItem {
        key: evacuation_key(CENTRE),
        value: b"{}".to_vec(),
        revision,
        lease: 0,
    }
}

/// Returns the items of the store at a revision.
fn store_at(revision: u64) -> Vec<StoreItem> {
    let mut config = None;
    let mut evacuation = None;
    for (index, step) in HISTORY.iter().take(revision as usize).enumerate() {
        let revision = index as u64 + 1;
        match step {
            OperatorStep::Version(version) => config = Some(config_item(*version, revision)),
            OperatorStep::Evacuate => evacuation = Some(evacuation_item(revision)),
            OperatorStep::EndEvacuation => evacuation = None,
        }
    }
    config.into_iter().chain(evacuation).collect()
}

fn change_at(revision: u64) -> StoreChange {
    match HISTORY[revision as usize - 1] {
        OperatorStep::Version(version) => StoreChange::Put(config_item(version, revision)),
        OperatorStep::Evacuate => StoreChange::Put(evacuation_item(revision)),
        OperatorStep::EndEvacuation => StoreChange::Deleted(evacuation_key(CENTRE), revision),
    }
}

/// Returns the tracker of a process after these events, and its state: whether the data centre is
/// evacuated, and the version.
fn replay(events: &[Event]) -> (ConfigTracker, Option<(bool, u64)>) {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let mut state = None;
    for event in events {
        let config = match event {
            Event::List(revision) => {
                let listing = StoreListing {
                    items: store_at(*revision),
                    revision: *revision,
                };
                tracker.apply_event(KeyEvent::All(listing, NOW), *revision, NOW)
            }
            Event::Change(revision) => {
                tracker.apply_event(KeyEvent::Changes(vec![change_at(*revision)]), 0, NOW)
            }
            Event::Peer(events) => match replay_config(events) {
                Some(config) => tracker.adopt_config(config, NOW),
                None => None,
            },
        };
        if let Some(config) = config {
            state = Some((config.is_evacuated(CENTRE), config.version));
        }
    }
    (tracker, state)
}

fn replay_config(events: &[Event]) -> Option<SiteConfig> {
    let (tracker, state) = replay(events);
    let (evacuated, version) = state?;
    let mut config = SiteConfig::new(version, Millis(1_000), [], []);
    config.revision = tracker.revision();
    if evacuated {
        config.set_evacuated_centres([CENTRE.into()]);
    }
    Some(config)
}

/// Returns the newest revision among the events of a process.
fn newest_revision(events: &[Event]) -> u64 {
    let newest = events.iter().map(|event| match event {
        Event::List(revision) | Event::Change(revision) => *revision,
        Event::Peer(events) => newest_revision(events),
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
            if process.events.len() == MAX_EVENTS[index] {
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
            if process.restarts == 0 && index == 0 && !process.events.is_empty() {
                actions.push(SiteAction::Restart(index));
            }
        }
        actions
    }

    /// Returns the state after an action; `None` if the action isn't possible.
    fn next(&self, action: SiteAction) -> Option<SiteState> {
        let mut state = self.clone();
        match action {
            SiteAction::Operate => state.revision += 1,
            // A watcher makes one request at a time.
            SiteAction::Read(index) => {
                let process = &mut state.processes[index];
                process.reading = Some(self.revision);
                process.watched = None;
            }
            SiteAction::ListArrives(index) => {
                let process = &mut state.processes[index];
                let revision = process.reading.take()?;
                if process.events.len() < MAX_EVENTS[index] {
                    process.events.push(Event::List(revision));
                    process.watched = Some(revision);
                }
            }
            SiteAction::ChangeArrives(index) => {
                let process = &mut state.processes[index];
                let revision = process.watched? + 1;
                process.events.push(Event::Change(revision));
                process.watched = Some(revision);
            }
            SiteAction::AskPeer(index) => {
                let peer = self.processes[1 - index].events.clone();
                replay(&peer).1?;
                state.processes[index].events.push(Event::Peer(peer));
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
    /// Checks that the state in force is at least as new as the newest event.
    fn check(&self) {
        let (tracker, known) = replay(&self.events);
        let newest = store_at(newest_revision(&self.events));
        assert!(
            tracker.revision() <= newest_revision(&self.events),
            "{self:?}"
        );
        let Some((evacuated, version)) = known else {
            return;
        };
        let is_evacuated = newest.iter().any(|item| item.key != CONFIG);
        assert!(evacuated || !is_evacuated, "evacuation undone: {self:?}");
        let expected = newest.iter().find(|item| item.key == CONFIG);
        let matches = |item: &StoreItem| *item == config_item(version, item.revision);
        assert!(
            expected.is_none_or(matches),
            "older version restored: {self:?}"
        );
    }

    fn has_all_events(&self) -> bool {
        newest_revision(&self.events) == HISTORY.len() as u64
    }
}

/// Guards against an evacuation or a version that is undone by delayed events, in any order of
/// lists, changes, snapshots of the other process and restarts.
#[test]
fn no_order_of_events_restores_an_older_state() {
    let first = SiteState {
        revision: 1,
        processes: Default::default(),
    };
    let mut found = HashSet::from([first.clone()]);
    let mut waiting = VecDeque::from([first]);
    let mut complete = 0;
    while let Some(state) = waiting.pop_front() {
        state.processes.iter().for_each(ProcessState::check);
        complete += usize::from(state.processes.iter().all(ProcessState::has_all_events));
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
    println!("{} states, {complete} with all events", found.len());
    assert!(found.len() > 10_000);
    assert!(complete > 0);
}
