//! Exhaustive search: two processes get configuration and evacuations from the store and from each
//! other, in every order, with delayed lists, restarts, and a return of the store from an older copy.

use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    sync::Arc,
};

use carobdrum_core::Millis;
use carobdrum_flows::version::{
    SiteConfig,
    StoreRevision, //
};
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
use rstest::rstest;

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

/// What bounds a search.
#[derive(Clone, Copy, Debug)]
struct SearchBounds {
    /// Limit of the events that each process gets after a start.
    events: [usize; PROCESSES],
    /// Whether the store may come back from an older copy. No process is restarted in that search.
    has_return: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorStep {
    Version(u64),
    Evacuate,
    EndEvacuation,
}

/// The store's return from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoreReturn {
    /// Revision of the copy.
    copied: u64,
    /// Last revision before the return.
    last: u64,
}

/// State of the store at a revision, of the first era or after the return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StorePoint {
    returned: Option<StoreReturn>,
    revision: u64,
}

/// An event that a process has applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    /// A list that was read here.
    List(StorePoint),
    /// The change that led here.
    Change(StorePoint),
    /// The configuration of the other process after these events.
    Peer(Vec<Event>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ProcessState {
    /// Events since the start, from which the tracker is rebuilt.
    events: Vec<Event>,
    /// Where a list was read that hasn't arrived yet.
    reading: Option<StorePoint>,
    /// Revision up to which the watch has delivered changes; `None` before the first list.
    watched: Option<u64>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SiteState {
    store: StorePoint,
    processes: [ProcessState; PROCESSES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SiteAction {
    Operate,
    /// The store comes back from its copy at this revision.
    Return(u64),
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

impl StorePoint {
    fn era(self) -> u32 {
        1 + u32::from(self.returned.is_some())
    }

    fn order(self) -> u64 {
        StoreRevision::new(self.era(), self.revision).order()
    }

    /// Returns the steps of the operator that the store can show, one a revision. After the return these are the steps of
    /// the copy, those with which the operator writes again, and the later ones.
    fn steps(self) -> Vec<OperatorStep> {
        let Some(StoreReturn { copied, last }) = self.returned else {
            return HISTORY.to_vec();
        };
        let at = |revision| StorePoint {
            returned: None,
            revision,
        };
        let (copy, lost) = (at(copied), at(last));
        let mut steps = HISTORY[..copied as usize].to_vec();
        if copy.version() != lost.version() {
            steps.extend(lost.version().map(OperatorStep::Version));
        }
        match (copy.is_evacuated(), lost.is_evacuated()) {
            (false, true) => steps.push(OperatorStep::Evacuate),
            (true, false) => steps.push(OperatorStep::EndEvacuation),
            _ => {}
        }
        steps.extend(&HISTORY[last as usize..]);
        steps
    }

    fn items(self) -> Vec<StoreItem> {
        let mut config = None;
        let mut evacuation = None;
        let steps = self.steps();
        for (index, step) in steps.iter().take(self.revision as usize).enumerate() {
            let point = StorePoint {
                revision: index as u64 + 1,
                ..self
            };
            match step {
                OperatorStep::Version(version) => {
                    config = Some(config_item(*version, point.order()));
                }
                OperatorStep::Evacuate => evacuation = Some(evacuation_item(point.order())),
                OperatorStep::EndEvacuation => evacuation = None,
            }
        }
        config.into_iter().chain(evacuation).collect()
    }

    fn change(self) -> StoreChange {
        let revision = self.order();
        match self.steps()[self.revision as usize - 1] {
            OperatorStep::Version(version) => StoreChange::Put(config_item(version, revision)),
            OperatorStep::Evacuate => StoreChange::Put(evacuation_item(revision)),
            OperatorStep::EndEvacuation => StoreChange::Deleted(evacuation_key(CENTRE), revision),
        }
    }

    fn version(self) -> Option<u64> {
        let steps = self.steps().into_iter().take(self.revision as usize);
        let versions = steps.filter_map(|step| match step {
            OperatorStep::Version(version) => Some(version),
            _ => None,
        });
        versions.max()
    }

    fn is_evacuated(self) -> bool {
        self.evacuated_at().is_some()
    }

    /// Returns the revision of the evacuation.
    fn evacuated_at(self) -> Option<u64> {
        let mut items = self.items().into_iter();
        let entry = items.find(|item| item.key != CONFIG);
        entry.map(|item| StoreRevision::from_order(item.revision).number)
    }
}

/// Returns the tracker of a process after these events, and the configuration in force.
fn replay(events: &[Event]) -> (ConfigTracker, Option<Arc<SiteConfig>>) {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let mut state = None;
    for event in events {
        let config = match event {
            Event::List(point) => {
                let listing = StoreListing {
                    items: point.items(),
                    revision: point.order(),
                };
                tracker.apply_event(KeyEvent::All(listing, NOW), point.order(), NOW)
            }
            Event::Change(point) => {
                tracker.apply_event(KeyEvent::Changes(vec![point.change()]), 0, NOW)
            }
            Event::Peer(events) => match replay(events).1 {
                Some(config) => tracker.adopt_config((*config).clone(), NOW),
                None => None,
            },
        };
        state = config.or(state);
    }
    (tracker, state)
}

/// Returns the versions that the events show, of which a process has the latest. It takes them from any peer, but from no
/// list or change that is behind an earlier event.
fn versions(events: &[Event]) -> Vec<u64> {
    let versions = events.iter().enumerate().flat_map(|(index, event)| {
        let known = points(&events[..index])
            .into_iter()
            .map(StorePoint::order)
            .max();
        match event {
            Event::List(point) | Event::Change(point) if Some(point.order()) >= known => {
                point.version().into_iter().collect()
            }
            Event::Peer(events) => versions(events),
            _ => Vec::new(),
        }
    });
    versions.collect()
}

/// Returns the same without those that are behind an earlier event.
fn points(events: &[Event]) -> Vec<StorePoint> {
    let mut points: Vec<StorePoint> = Vec::new();
    for event in events {
        let shown = match event {
            Event::List(point) | Event::Change(point) => vec![*point],
            Event::Peer(events) => self::points(events),
        };
        let newest = |points: &[StorePoint]| points.iter().map(|point| point.order()).max();
        if newest(&shown) >= newest(&points) {
            points.extend(shown);
        }
    }
    points
}

impl SiteState {
    fn actions(&self, bounds: SearchBounds) -> Vec<SiteAction> {
        let mut actions = Vec::new();
        if (self.store.revision as usize) < self.store.steps().len() {
            actions.push(SiteAction::Operate);
        }
        if bounds.has_return && self.store.returned.is_none() {
            actions.extend((1..self.store.revision).map(SiteAction::Return));
        }
        for (index, process) in self.processes.iter().enumerate() {
            if process.reading.is_some() {
                actions.push(SiteAction::ListArrives(index));
            }
            if process.events.len() == bounds.events[index] {
                continue;
            }
            if process.reading.is_none() {
                actions.push(SiteAction::Read(index));
            }
            if process
                .watched
                .is_some_and(|watched| watched < self.store.revision)
            {
                actions.push(SiteAction::ChangeArrives(index));
            }
            actions.push(SiteAction::AskPeer(index));
            let is_restartable = !bounds.has_return && process.restarts == 0 && index == 0;
            if is_restartable && !process.events.is_empty() {
                actions.push(SiteAction::Restart(index));
            }
        }
        actions
    }

    /// Returns the state after an action; `None` if the action isn't possible.
    fn next(&self, action: SiteAction, bounds: SearchBounds) -> Option<SiteState> {
        let mut state = self.clone();
        match action {
            SiteAction::Operate => state.store.revision += 1,
            SiteAction::Return(copied) => {
                let last = self.store.revision;
                state.store = StorePoint {
                    returned: Some(StoreReturn { copied, last }),
                    revision: copied,
                };
                // No watch goes on in another era.
                for process in &mut state.processes {
                    process.watched = None;
                }
            }
            // A watcher makes one request at a time.
            SiteAction::Read(index) => {
                let process = &mut state.processes[index];
                process.reading = Some(self.store);
                process.watched = None;
            }
            SiteAction::ListArrives(index) => {
                let process = &mut state.processes[index];
                let point = process.reading.take()?;
                // Once a process has seen a response of a later era, it refuses those of an earlier one.
                let is_refused = process.has_response_after(point.era());
                if process.events.len() < bounds.events[index] && !is_refused {
                    process.events.push(Event::List(point));
                    process.watched = (point.era() == self.store.era()).then_some(point.revision);
                }
            }
            SiteAction::ChangeArrives(index) => {
                let process = &mut state.processes[index];
                let revision = process.watched? + 1;
                let point = StorePoint {
                    revision,
                    ..self.store
                };
                process.events.push(Event::Change(point));
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
    fn has_response_after(&self, era: u32) -> bool {
        let mut events = self.events.iter();
        events.any(|event| match event {
            Event::List(point) | Event::Change(point) => point.era() > era,
            Event::Peer(_) => false,
        })
    }

    /// Checks that the state in force is at least as new as what the events show.
    fn check(&self) {
        let (tracker, known) = replay(&self.events);
        let points = points(&self.events);
        let Some(newest) = points.iter().copied().max_by_key(|point| point.order()) else {
            return;
        };
        assert!(tracker.revision() <= newest.order(), "{self:?}");
        let Some(config) = known else {
            return;
        };
        let versions = versions(&self.events).into_iter();
        assert_eq!(versions.max(), Some(config.version), "{self:?}");
        let is_evacuated = config.is_evacuated(CENTRE);
        // An entry of the new era with the revision of one before it may be that of the copy, and waits for the operator.
        let may_have_ended = newest.returned.is_some()
            && newest.evacuated_at().is_some_and(|entry| {
                HISTORY.get(entry as usize - 1) == Some(&OperatorStep::Evacuate)
            });
        assert!(
            is_evacuated || !newest.is_evacuated() || may_have_ended,
            "evacuation undone: {self:?}"
        );
        self.check_return(is_evacuated);
    }

    /// Checks that an evacuation that the process knew before the return is in force until a change of the new era ends it.
    fn check_return(&self, is_evacuated: bool) {
        let is_of_new_era = |event: &Event| {
            let points = points(std::slice::from_ref(event));
            points.iter().any(|point| point.era() == 2)
        };
        let Some(index) = self.events.iter().position(is_of_new_era) else {
            return;
        };
        let (before, after) = self.events.split_at(index);
        let may_have_ended = after.iter().any(|event| match event {
            // Once the store has shown the evacuation in the new era, any later list may show its end.
            Event::List(point) => point.is_evacuated(),
            Event::Change(point) => {
                point.is_evacuated() || matches!(point.change(), StoreChange::Deleted(..))
            }
            Event::Peer(events) => {
                events.len() > 1 || points(events).into_iter().any(StorePoint::is_evacuated)
            }
        });
        let newest = points(before)
            .into_iter()
            .max_by_key(|point| point.revision);
        let was_evacuated = newest.is_some_and(StorePoint::is_evacuated);
        assert!(
            is_evacuated || !was_evacuated || may_have_ended,
            "evacuation ended by the return: {self:?}"
        );
    }

    fn has_all_events(&self, store: StorePoint) -> bool {
        points(&self.events).contains(&store) && store.revision as usize == store.steps().len()
    }
}

/// Guards against an evacuation or a version that is undone by delayed events, in any order of
/// lists, changes, snapshots of the other process and restarts, and by a return of the store.
#[rstest]
#[case::restarts([3, 2], false)]
#[case::return_of_the_store([3, 1], true)]
fn no_order_of_events_restores_an_older_state(
    #[case] events: [usize; PROCESSES],
    #[case] has_return: bool,
) {
    let bounds = SearchBounds { events, has_return };
    let first = SiteState {
        store: StorePoint {
            returned: None,
            revision: 1,
        },
        processes: Default::default(),
    };
    let mut found = HashSet::from([first.clone()]);
    let mut waiting = VecDeque::from([first]);
    let mut complete = 0;
    while let Some(state) = waiting.pop_front() {
        state.processes.iter().for_each(ProcessState::check);
        complete += usize::from(
            state
                .processes
                .iter()
                .all(|process| process.has_all_events(state.store)),
        );
        for next in state
            .actions(bounds)
            .into_iter()
            .filter_map(|action| state.next(action, bounds))
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
