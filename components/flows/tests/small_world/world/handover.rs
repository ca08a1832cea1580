//! Agents that hand their deregistration over to balancers.

use carobdrum_core::Millis;
use carobdrum_flows::process::AgentReport;

use super::{
    Message,
    World,
    DELAY, //
};
use crate::{
    fault::{
        List,
        Registering, //
    },
    support::agent, //
};

/// Time after which the registration of a new process takes effect if the store is slow.
const LATE_REGISTRATION: u64 = 600;
/// Time for which reports are lost.
const REPORTS_LOST: u64 = 1_000;
/// Delay of the duplicate of a message.
const DUPLICATE: u64 = 400;

impl World {
    /// The first agent and its server end in order; the new process opens the flow again once it is ready.
    pub(super) fn replace_process(&mut self, registering: Registering) {
        let revision = self.revisions[0];
        let leaving = AgentReport {
            accepts: false,
            ..self.agents[0].report(Millis(self.now))
        };
        for balancer in &mut self.balancers {
            let now = Millis(self.now);
            balancer.table.apply_report(agent(0), leaving, now);
            balancer.is_heard = false;
        }
        // The second balancer gets the message in time, and both get late ones.
        self.receive(Message::Ended(1, 0, revision));
        for delay in [DELAY, DUPLICATE] {
            for balancer in 0..2 {
                let message = Message::Ended(balancer, 0, revision);
                self.network.push((self.now + delay, message));
            }
        }
        self.restart_server(0);
        self.agents[0] = self.new_agent(0, 0);
        self.begin_reading(0, List::Newest);
        self.is_reopening = true;
        match registering {
            Registering::Unreported => {
                self.revisions[0] += 1;
                for balancer in &mut self.balancers {
                    balancer.reports_lost_until = self.now + REPORTS_LOST;
                    balancer.is_heard = true;
                }
            }
            Registering::Late => self.registers_at = Some(self.now + LATE_REGISTRATION),
        }
    }

    pub(super) fn lose_reports(&mut self) {
        self.balancers[0].reports_lost_until = self.now + REPORTS_LOST;
    }

    /// Passes the reports of an agent to the balancers. Before a late registration each has had one.
    pub(super) fn send_report(&mut self, number: usize) {
        let report = self.agents[number].report(Millis(self.now));
        for balancer in &mut self.balancers {
            let is_lost = number == 0 && balancer.reports_lost_until > self.now;
            if is_lost && balancer.is_heard {
                continue;
            }
            if number == 0 && report.is_confirmed {
                balancer.is_heard = true;
            }
            let now = Millis(self.now);
            balancer
                .table
                .apply_report(agent(number as u8), report, now);
            balancer.table.note_alive(agent(number as u8));
        }
    }

    pub(super) fn register(&mut self) {
        let is_up = self.store_down_until <= self.now;
        if is_up && self.registers_at.take_if(|due| *due <= self.now).is_some() {
            self.revisions[0] += 1;
        }
    }
}
