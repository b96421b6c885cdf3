//! Tickets: idempotency keys that a daemon issues and alone may dispatch.
//!
//! A ticket names the incarnation that issued it, so that no other process ever dispatches it. The
//! ledger forgets tickets after their lifetime by the issuer's own clock; a forgotten ticket is
//! refused, whether or not it was used, so that a paused or slow issuer never dispatches twice.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::str::FromStr;
use std::time::Duration;

use geraniumshed_model::id::ParseIdError;
use geraniumshed_model::prelude::{DaemonIncarnation, TimePoint};

/// The start of every ticket, by which it is told from keys that callers choose.
const TICKET_PREFIX: &str = "gst1.";

/// The tickets that one word of the ledger stands for.
const WORD_BITS: u64 = u64::BITS as u64;

/// An idempotency key that a daemon issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket {
    /// The incarnation that issued the ticket.
    pub incarnation: DaemonIncarnation,
    /// The number of the ticket, counted by its issuer.
    pub number: u64,
    /// A check value that only the issuer can work out.
    pub check: u64,
}

impl RequestTicket {
    /// Tells whether a key claims to be a ticket.
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(TICKET_PREFIX)
    }
}

impl Display for RequestTicket {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            incarnation,
            number,
            check,
        } = self;
        write!(f, "{TICKET_PREFIX}{:x}.{number:x}.{check:x}", incarnation.0)
    }
}

impl FromStr for RequestTicket {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            expected: "ticket",
            found: text.chars().take(80).collect(),
            hint: "use a ticket from POST /tickets as it was issued",
        };
        let rest = text.strip_prefix(TICKET_PREFIX).ok_or_else(error)?;
        let mut parts = rest.split('.').map(|part| u64::from_str_radix(part, 16));
        let mut next = || parts.next().and_then(Result::ok).ok_or_else(error);
        let ticket = Self {
            incarnation: DaemonIncarnation(next()?),
            number: next()?,
            check: next()?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(ticket)
    }
}

/// Whether a ticket's request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TicketVerdict {
    /// The ticket is now used up, and its request may be dispatched.
    Dispatch,
    /// The ticket was used before.
    Used,
    /// The ticket is older than the ledger goes back.
    Expired,
    /// This ledger did not issue the ticket.
    Foreign,
}

/// The tickets that one incarnation of a daemon issued.
#[derive(Debug, Clone)]
pub struct TicketLedger {
    incarnation: DaemonIncarnation,
    secret: u64,
    lifetime: Duration,
    next: u64,
    floor: u64,
    used: VecDeque<u64>,
    issues: VecDeque<(TimePoint, u64)>,
}

impl TicketLedger {
    /// Opens the ledger of an incarnation.
    pub fn open(incarnation: DaemonIncarnation, secret: u64, lifetime: Duration) -> Self {
        Self {
            incarnation,
            secret,
            lifetime,
            next: 0,
            floor: 0,
            used: VecDeque::new(),
            issues: VecDeque::new(),
        }
    }

    /// Issues tickets.
    pub fn issue(&mut self, now: TimePoint, count: u32) -> Vec<RequestTicket> {
        self.forget_old(now);
        let first = self.next;
        self.next += u64::from(count);
        self.issues.push_back((now, self.next));
        (first..self.next)
            .map(|number| self.ticket(number))
            .collect()
    }

    /// Uses a ticket up, if it is still unused.
    pub fn take(&mut self, now: TimePoint, ticket: &RequestTicket) -> TicketVerdict {
        self.forget_old(now);
        if *ticket != self.ticket(ticket.number) || ticket.number >= self.next {
            return TicketVerdict::Foreign;
        }
        let Some((word, bit)) = self.place(ticket.number) else {
            return TicketVerdict::Expired;
        };
        if self.used.len() <= word {
            self.used.resize(word + 1, 0);
        }
        if self.used[word] & bit != 0 {
            return TicketVerdict::Used;
        }
        self.used[word] |= bit;
        TicketVerdict::Dispatch
    }

    /// Makes a ticket usable again, since its request was never dispatched.
    pub fn give_back(&mut self, ticket: &RequestTicket) {
        if let Some((word, bit)) = self.place(ticket.number)
            && let Some(used) = self.used.get_mut(word)
        {
            *used &= !bit;
        }
    }

    fn ticket(&self, number: u64) -> RequestTicket {
        let mut hasher = DefaultHasher::new();
        (self.secret, self.incarnation, number).hash(&mut hasher);
        RequestTicket {
            incarnation: self.incarnation,
            number,
            check: hasher.finish(),
        }
    }

    /// Returns the word and the bit of a ticket that is not forgotten.
    fn place(&self, number: u64) -> Option<(usize, u64)> {
        let distance = number.checked_sub(self.floor)?;
        let word = usize::try_from(distance / WORD_BITS).ok()?;
        Some((word, 1 << (distance % WORD_BITS)))
    }

    /// Forgets tickets beyond their lifetime, whole words at a time.
    fn forget_old(&mut self, now: TimePoint) {
        let mut end = self.floor;
        while let Some((issued, until)) = self.issues.front() {
            if now.since(*issued) <= self.lifetime {
                break;
            }
            end = *until;
            self.issues.pop_front();
        }
        while self.floor + WORD_BITS <= end {
            self.used.pop_front();
            self.floor += WORD_BITS;
        }
    }
}
