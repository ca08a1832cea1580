//! Shares of the kinds of requests.

/// Shares of the kinds of requests in a load, relative to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestMix {
    /// GET requests with a small answer.
    pub small: u32,
    /// GET requests with a large answer.
    pub large: u32,
    /// POST requests whose body comes back.
    pub echo: u32,
    /// POST requests that the server counts by their identity.
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
    /// GET with a small answer.
    Small,
    /// GET with a large answer.
    Large,
    /// POST whose body comes back.
    Echo,
    /// POST that the server counts by its identity.
    Record,
}

impl RequestMix {
    /// Returns the sum of all shares.
    pub(crate) fn total(&self) -> u32 {
        [self.small, self.large, self.echo, self.record]
            .iter()
            .fold(0, |sum, share| sum.saturating_add(*share))
    }

    /// Returns the kind at `point`, which is less than the sum of all shares.
    pub(crate) fn kind_at(&self, point: u32) -> RequestKind {
        let shares = [
            (self.small, RequestKind::Small),
            (self.large, RequestKind::Large),
            (self.echo, RequestKind::Echo),
        ];
        let mut rest = point;
        for (share, kind) in shares {
            if rest < share {
                return kind;
            }
            rest -= share;
        }
        RequestKind::Record
    }
}
