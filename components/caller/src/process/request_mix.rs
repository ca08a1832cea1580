//! Relative shares of request kinds in a load.

/// Relative shares of request kinds in a load; their sum must not be 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestMix {
    /// GET requests with a small response.
    pub small: u32,
    /// GET requests with a large response.
    pub large: u32,
    /// POST requests whose response repeats their body.
    pub echo: u32,
    /// POST requests with a unique identity, by which the server counts how often each ran.
    pub record: u32,
}

impl Default for RequestMix {
    fn default() -> RequestMix {
        RequestMix {
            small: 8,
            large: 1,
            echo: 1,
            record: 0,
        }
    }
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// GET with a small response.
    Small,
    /// GET with a large response.
    Large,
    /// POST whose response repeats the body.
    Echo,
    /// POST with a unique identity, by which the server counts how often it ran.
    Record,
}

impl RequestMix {
    /// Returns the sum of all shares.
    pub(crate) fn total(&self) -> u32 {
        [self.small, self.large, self.echo, self.record]
            .iter()
            .fold(0, |sum, share| sum.saturating_add(*share))
    }

    /// Returns the kind whose share contains `point`, a number below the sum of all shares.
    pub(crate) fn kind_at(&self, point: u32) -> RequestKind {
        let shares = [
            (self.small, RequestKind::Small),
            (self.large, RequestKind::Large),
            (self.echo, RequestKind::Echo),
        ];
        let mut remaining = point;
        for (share, kind) in shares {
            if remaining < share {
                return kind;
            }
            remaining -= share;
        }
        RequestKind::Record
    }
}
