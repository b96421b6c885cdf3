//! Logging of the process.

mod limiter;
mod writer;

use flexi_logger::{
    AdaptiveFormat, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, json_format,
};
use geraniumshed_daemon::node::LevelControl;
use geraniumshed_daemon::settings::{TelemetrySettings, TextFormat};
use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use log::LevelFilter;
use smol_str::{ToSmolStr, format_smolstr};

pub use self::limiter::{LineLimiter, LineVerdict, LogSite};
pub use self::writer::LineWriter;

/// The hint shown for an invalid log level.
const LEVEL_HINT: &str =
    "use off, error, warn, info, debug or trace, also by module: `info, geraniumshed_core=debug`";

/// A handle to the running logger; any clone can change the level.
#[derive(Clone)]
pub struct LogHandle {
    logger: LoggerHandle,
}

impl std::fmt::Debug for LogHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LogHandle").finish_non_exhaustive()
    }
}

impl LogHandle {
    /// Starts logging to standard error.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the level is invalid.
    pub fn open(settings: &TelemetrySettings) -> Result<Self, ProblemError> {
        let level = parse_level(&settings.log_level)?;
        let logger = Logger::with(level).log_to_stderr();
        let logger = match settings.log_format {
            TextFormat::Text => logger.adaptive_format_for_stderr(AdaptiveFormat::Detailed),
            TextFormat::Json => logger.format(json_format),
        };
        let logger = logger.start().map_err(logger_error)?;
        Ok(Self { logger })
    }

    /// Starts logging JSON lines to standard output, with limited volume and without ever blocking
    /// on a slow reader.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the logger can't be started, or `Malformed` if the level is invalid.
    pub fn open_bounded(level: &str) -> Result<Self, ProblemError> {
        let writer = LineWriter::spawn().map_err(|error| {
            ProblemError::new(ErrorKind::Internal, error.to_smolstr(), "report this")
        })?;
        let logger = Logger::with(parse_level(level)?).log_to_writer(Box::new(writer));
        let logger = logger.start().map_err(logger_error)?;
        Ok(Self { logger })
    }

    /// Changes the log level, which may differ per module.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the level is invalid.
    pub fn set_level(&self, level: &str) -> Result<(), ProblemError> {
        self.logger.set_new_spec(parse_level(level)?);
        Ok(())
    }
}

impl LevelControl for LogHandle {
    fn set_level(&self, level: &str) -> Result<(), ProblemError> {
        self.set_level(level)
    }
}

/// Parses a log level, which may differ per module.
///
/// # Errors
///
/// Returns `Malformed` if the level is invalid.
pub fn parse_level(level: &str) -> Result<LogSpecification, ProblemError> {
    let error = || {
        ProblemError::new(
            ErrorKind::Malformed,
            format_smolstr!("`{level}` is not a level of the log"),
            LEVEL_HINT,
        )
    };
    // `LogSpecification` parses a bare word that is not a level as a module name and then logs
    // nothing else, so every level is checked first.
    let words = level
        .split(',')
        .map(|part| part.rsplit_once('=').map_or(part, |(_, level)| level));
    for word in words {
        word.trim().parse::<LevelFilter>().map_err(|_| error())?;
    }
    LogSpecification::parse(level).map_err(|_| error())
}

fn logger_error(error: FlexiLoggerError) -> ProblemError {
    ProblemError::new(ErrorKind::Internal, error.to_smolstr(), "report this")
}
