//! Access control of the operators' interface.

use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use crate::settings::OperatorSecret;

/// The authentication scheme in the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Checks the secret that an operator sends, in constant time.
///
/// # Errors
///
/// Returns `Unauthorized` if the secret is missing or wrong.
pub fn check_access(
    headers: &HeaderMap,
    secret: Option<&OperatorSecret>,
) -> Result<(), ProblemError> {
    let Some(secret) = secret else {
        // Settings without a secret require client certificates, which the TLS handshake has
        // checked.
        return Ok(());
    };
    let sent = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME));
    let Some(sent) = sent else {
        return Err(ProblemError::new(
            ErrorKind::Unauthorized,
            "the request carries no secret",
            "send `Authorization: Bearer SECRET`, or set GERANIUMSHED_OPERATOR_SECRET",
        ));
    };
    if bool::from(sent.as_bytes().ct_eq(secret.expose().as_bytes())) {
        return Ok(());
    }
    Err(ProblemError::new(
        ErrorKind::Unauthorized,
        "the secret is wrong",
        "use the secret in the daemon's settings",
    ))
}
