//! Cases of the server model: limits under overload, and cold starts.

/// Adaptive limit of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitChoice {
    Fixed,
    Aimd,
    Gradient,
}

/// Warm-up of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampChoice {
    /// Only the slots limit.
    None,
    /// The adaptive limit without warm-up.
    LimitOnly,
    /// Growth with every success.
    BySuccess,
    /// Growth with every success, with backoff after failures.
    WithBackoff,
    /// The server's current capacity, which no agent can know.
    Oracle,
}

/// Capacity of the server over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    /// Runs this many requests at full speed; with more, all are slower and have errors.
    Constant(u32),
    /// Becomes cold at 20 s and warms up with time.
    ColdByTime { refuses_first: bool },
    /// Becomes cold at 20 s and warms up with the requests that it completes.
    ColdByRequests { refuses_first: bool },
}

/// Server, demand and policy of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerCase {
    pub(crate) slots: u32,
    pub(crate) server: ServerKind,
    /// Demand relative to the server's capacity.
    pub(crate) demand: f64,
    pub(crate) limit: LimitChoice,
    pub(crate) ramp: RampChoice,
    pub(crate) bulk_reserve: u32,
    pub(crate) early_expiry: bool,
    /// Whether retries are limited by the budget.
    pub(crate) budget: bool,
}

impl ServerCase {
    /// Returns a case of constant capacity with the policy that agents use.
    pub(crate) fn overload(slots: u32, capacity: u32, demand: f64) -> ServerCase {
        ServerCase {
            slots,
            server: ServerKind::Constant(capacity),
            demand,
            limit: LimitChoice::Aimd,
            ramp: RampChoice::WithBackoff,
            bulk_reserve: 1,
            early_expiry: true,
            budget: true,
        }
    }

    /// Returns a case of a cold start, otherwise with the policy that agents use.
    pub(crate) fn cold(slots: u32, server: ServerKind, ramp: RampChoice) -> ServerCase {
        ServerCase {
            server,
            ramp,
            ..ServerCase::overload(slots, slots, 0.9)
        }
    }

    /// Returns whether the server becomes cold.
    pub(crate) fn is_cold(&self) -> bool {
        !matches!(self.server, ServerKind::Constant(_))
    }
}
