//! What broke open flows in a run of the soak test.

use std::{
    fmt,
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_platform_standins::DeliveryEvent;
use tokio::time::Instant;

use crate::{
    soak_caller::{
        FlowRequest,
        FlowReset,
        SoakCount, //
    },
    soak_site::SoakSite,
};

/// Time within which packets of a flow must not reach other servers only.
const STRAY_WINDOW: Duration = Duration::from_secs(2);

/// Time after a loss of power from which requests on lost flows have to be settled.
pub(crate) const SETTLING_DURATION: Duration = Duration::from_secs(3);

/// Time within which a request on a lost flow has to get a reset or a response.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2_500);

/// Number of packets at other servers from which a flow counts as led astray.
const STRAY_PACKETS: usize = 3;

impl fmt::Display for SoakCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "asked {}, served {}, wrong answers {}, resets {}",
            self.asked,
            self.served,
            self.wrong_answers,
            self.resets.len()
        )
    }
}

/// Returns the resets of flows whose server had not ended.
pub(crate) fn wrong_resets(site: &SoakSite, count: &SoakCount) -> Vec<FlowReset> {
    let resets = count.resets.iter();
    let wrong = resets.filter(|reset| end_of(site, reset.server).is_none_or(|end| reset.at < end));
    wrong.copied().collect()
}

/// Returns the requests on flows from before the last loss of power that were sent once the site had been
/// back for [`SETTLING_DURATION`].
pub(crate) fn requests_on_lost_flows(site: &SoakSite, count: &SoakCount) -> Vec<FlowRequest> {
    let Some(loss) = site.losses.last() else {
        return Vec::new();
    };
    let requests = count.requests.iter();
    let on_lost = requests.filter(|request| {
        request.opened < loss.began && request.asked >= loss.ended + SETTLING_DURATION
    });
    on_lost.copied().collect()
}

/// Returns the caller of the request, if it got neither a reset nor a response within
/// [`REQUEST_DEADLINE`].
pub(crate) fn silent_caller(request: &FlowRequest) -> Option<SocketAddrV4> {
    let due = request.asked + REQUEST_DEADLINE;
    let is_silent = request.settled.is_none_or(|settled| settled > due);
    is_silent.then_some(request.caller)
}

/// Returns the flows of which, within [`STRAY_WINDOW`], packets reached other servers only although
/// their own server lived.
pub(crate) fn stray_flows(site: &SoakSite, count: &SoakCount) -> Vec<SocketAddrV4> {
    let events = site.log.deliveries.lock().unwrap();
    let owners = count.owners.iter();
    let strays = owners.filter(|(caller, server)| {
        let end = end_of(site, *server);
        let of_flow = events.iter().filter(|event| event.caller == *caller);
        let of_flow = of_flow.filter(|event| end.is_none_or(|end| event.at < end));
        is_stray(&of_flow.copied().collect::<Vec<_>>())
    });
    strays.map(|(caller, _)| *caller).collect()
}

/// Returns whether packets of one flow, in the order of their arrival, strayed.
fn is_stray(events: &[DeliveryEvent]) -> bool {
    let runs = events.split(|event| event.is_held);
    let strays = |run: &[DeliveryEvent]| match run {
        [first, .., last] => {
            run.len() >= STRAY_PACKETS && last.at.duration_since(first.at) >= STRAY_WINDOW
        }
        _ => false,
    };
    runs.into_iter().any(strays)
}

fn end_of(site: &SoakSite, server: u32) -> Option<Instant> {
    let ends = site.servers.iter().flat_map(|servers| &servers.ends);
    let mut ends = ends.filter(|end| end.0 == server);
    ends.next().map(|end| end.1)
}
