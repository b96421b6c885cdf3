//! Conversions of forwarded requests and answers to and from their wire types.

use geraniumshed_model::prelude::DaemonIncarnation;
use geraniumshed_wire::common::{WireError, span_from_micros, span_to_micros};
use geraniumshed_wire::peer::{ForwardAnswerWire, ForwardRequestWire, HeaderWire};
use smol_str::ToSmolStr;

use crate::request::{ForwardAnswer, ForwardRequest, HeaderPair};

impl From<HeaderPair> for HeaderWire {
    fn from(header: HeaderPair) -> Self {
        Self {
            name: header.name,
            value: header.value,
        }
    }
}

impl From<HeaderWire> for HeaderPair {
    fn from(wire: HeaderWire) -> Self {
        Self {
            name: wire.name,
            value: wire.value,
        }
    }
}

impl From<ForwardRequest> for ForwardRequestWire {
    fn from(request: ForwardRequest) -> Self {
        Self {
            incarnation: request.incarnation.map(|incarnation| incarnation.0),
            service: request.service.to_smolstr(),
            method: request.method,
            target: request.target,
            headers: request.headers.into_iter().map(Into::into).collect(),
            body: request.body,
            remaining_us: span_to_micros(request.remaining),
        }
    }
}

impl TryFrom<ForwardRequestWire> for ForwardRequest {
    type Error = WireError;

    fn try_from(wire: ForwardRequestWire) -> Result<Self, Self::Error> {
        Ok(Self {
            incarnation: wire.incarnation.map(DaemonIncarnation),
            service: wire.service.parse()?,
            method: wire.method,
            target: wire.target,
            headers: wire.headers.into_iter().map(Into::into).collect(),
            body: wire.body,
            remaining: span_from_micros(wire.remaining_us),
        })
    }
}

impl From<ForwardAnswer> for ForwardAnswerWire {
    fn from(answer: ForwardAnswer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers.into_iter().map(Into::into).collect(),
            body: answer.body,
        }
    }
}

impl From<ForwardAnswerWire> for ForwardAnswer {
    fn from(wire: ForwardAnswerWire) -> Self {
        Self {
            status: wire.status,
            headers: wire.headers.into_iter().map(Into::into).collect(),
            body: wire.body,
        }
    }
}
