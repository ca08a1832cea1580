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
    /// Nothing but the slots.
    None,
    /// The adaptive limit without warm-up.
    LimitOnly,
    /// Growth with every success.
    BySuccess,
    /// Growth with every success, held back by failures.
    WithBackoff,
    /// The limit that the server bears at each moment, which no agent can know.
    Oracle,
}

/// What the server bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    /// Runs this many requests at full speed, and more of them slower and with errors.
    Constant(u32),
    /// Becomes cold at 20 s and warms with time.
    ColdByTime { refuses: bool },
    /// Becomes cold at 20 s and warms with the requests that it completes.
    ColdByWork { refuses: bool },
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerCase {
    pub(crate) slots: u32,
    pub(crate) server: ServerKind,
    /// Demand relative to what the server bears.
    pub(crate) demand: f64,
    pub(crate) limit: LimitChoice,
    pub(crate) ramp: RampChoice,
    pub(crate) bulk_reserve: u32,
    pub(crate) early_expiry: bool,
    /// Whether retries are limited by the budget.
    pub(crate) budget: bool,
}

impl ServerCase {
    /// Returns a case of overload with the settings of the design.
    pub(crate) fn overload(slots: u32, bears: u32, demand: f64) -> ServerCase {
        ServerCase {
            slots,
            server: ServerKind::Constant(bears),
            demand,
            limit: LimitChoice::Aimd,
            ramp: RampChoice::WithBackoff,
            bulk_reserve: 1,
            early_expiry: true,
            budget: true,
        }
    }

    /// Returns a case of a cold start with the settings of the design.
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
