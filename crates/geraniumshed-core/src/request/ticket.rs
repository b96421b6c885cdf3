//! Tickets: idempotency keys that a daemon issues, and whose requests only that daemon dispatches.
//!
//! A ticket names the daemon incarnation that issued it, so that no other process ever dispatches
//! its request. Tickets expire after their lifetime by the issuer's own clock. An expired ticket is
//! refused whether or not it was used, so that a paused or slow issuer never dispatches twice.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::str::FromStr;
use std::time::Duration;

use geraniumshed_model::id::ParseIdError;
use geraniumshed_model::prelude::{DaemonIncarnation, TimePoint};

/// The prefix that distinguishes tickets from keys that callers choose.
const TICKET_PREFIX: &str = "gst1.";

/// The number of tickets whose state is stored in one word of the ledger.
const WORD_BITS: u64 = u64::BITS as u64;

/// An idempotency key that a daemon issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket {
    /// The incarnation that issued the ticket.
    pub incarnation: DaemonIncarnation,
    /// The sequence number of the ticket within its incarnation.
    pub number: u64,
    /// A check value that only the issuer can compute.
    pub check: u64,
}

impl RequestTicket {
    /// Returns whether a key has the prefix of tickets; it may still be invalid.
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

/// The decision on whether a ticket's request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TicketVerdict {
    /// The ticket was unused and is now used, so its request may be dispatched.
    Dispatch,
    /// The ticket was used before.
    Used,
    /// The ticket has expired.
    Expired,
    /// The ticket was not issued by this ledger.
    Foreign,
}

/// Issues the tickets of one daemon incarnation, and tracks which of them are used.
#[derive(Debug, Clone)]
pub struct TicketLedger {
    incarnation: DaemonIncarnation,
    secret: u64,
    lifetime: Duration,
    next: u64,
    /// The lowest ticket number that has not been evicted.
    first_kept: u64,
    /// One bit for each ticket from `first_kept` on; set if the ticket is used.
    used: VecDeque<u64>,
    /// The time of each issue, with the ticket number after its last ticket.
    batches: VecDeque<(TimePoint, u64)>,
}

impl TicketLedger {
    /// Creates the ledger of an incarnation. The secret goes into the check values.
    pub fn open(incarnation: DaemonIncarnation, secret: u64, lifetime: Duration) -> Self {
        Self {
            incarnation,
            secret,
            lifetime,
            next: 0,
            first_kept: 0,
            used: VecDeque::new(),
            batches: VecDeque::new(),
        }
    }

    /// Issues a number of tickets.
    pub fn issue(&mut self, now: TimePoint, count: u32) -> Vec<RequestTicket> {
        self.evict_expired(now);
        let first = self.next;
        self.next += u64::from(count);
        self.batches.push_back((now, self.next));
        (first..self.next)
            .map(|number| self.ticket(number))
            .collect()
    }

    /// Marks a ticket as used, if it is valid and unused.
    pub fn consume(&mut self, now: TimePoint, ticket: &RequestTicket) -> TicketVerdict {
        self.evict_expired(now);
        if *ticket != self.ticket(ticket.number) || ticket.number >= self.next {
            return TicketVerdict::Foreign;
        }
        let Some((word, bit)) = self.bit_position(ticket.number) else {
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
    pub fn release(&mut self, ticket: &RequestTicket) {
        if let Some((word, bit)) = self.bit_position(ticket.number)
            && let Some(used) = self.used.get_mut(word)
        {
            *used &= !bit;
        }
    }

    /// Returns the ticket with a sequence number.
    fn ticket(&self, number: u64) -> RequestTicket {
        let mut hasher = DefaultHasher::new();
        (self.secret, self.incarnation, number).hash(&mut hasher);
        RequestTicket {
            incarnation: self.incarnation,
            number,
            check: hasher.finish(),
        }
    }

    /// Returns the index of a ticket's word and its bit mask, or `None` if the ticket was evicted.
    fn bit_position(&self, number: u64) -> Option<(usize, u64)> {
        let distance = number.checked_sub(self.first_kept)?;
        let word = usize::try_from(distance / WORD_BITS).ok()?;
        Some((word, 1 << (distance % WORD_BITS)))
    }

    /// Evicts expired tickets, in whole words.
    fn evict_expired(&mut self, now: TimePoint) {
        let mut end = self.first_kept;
        while let Some((issued, until)) = self.batches.front() {
            if now.since(*issued) <= self.lifetime {
                break;
            }
            end = *until;
            self.batches.pop_front();
        }
        while self.first_kept + WORD_BITS <= end {
            self.used.pop_front();
            self.first_kept += WORD_BITS;
        }
    }
}
