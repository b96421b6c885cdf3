//! Options that all commands for operators share.

use crate::client::ClientSettings;
use crate::output::OutputFormat;

/// Options of a command that calls a daemon.
pub trait OperatorArguments {
    /// Returns how daemons are reached.
    fn client(&self) -> ClientSettings;

    /// Returns the form of the output.
    fn output(&self) -> OutputFormat;
}

/// Defines the options of a command that calls a daemon: its own, then the shared ones.
///
/// The fields pass as they are written, since the derive reads `Option` and `Vec` from the text.
macro_rules! operator_arguments {
    ($(#[$doc:meta])* $name:ident { $($fields:tt)* }) => {
        $(#[$doc])*
        #[derive(Debug, gumdrop::Options)]
        pub struct $name {
            #[options(help = "print this help")]
            help: bool,
            $($fields)*
            #[options(
                no_short,
                help = "operators' URLs of daemons, between commas (or GERANIUMSHED_OPERATOR_URL)",
                meta = "URL"
            )]
            url: Option<String>,
            #[options(
                no_short,
                help = "file of the operators' secret (or GERANIUMSHED_OPERATOR_SECRET)",
                meta = "FILE"
            )]
            secret_file: Option<String>,
            #[options(no_short, help = "PEM file of the daemons' authority", meta = "FILE")]
            authority: Option<String>,
            #[options(no_short, help = "PEM file of your certificate and key", meta = "FILE")]
            identity: Option<String>,
            #[options(help = "table or json", meta = "FORM")]
            output: $crate::output::OutputFormat,
        }

        impl $crate::command::arguments::OperatorArguments for $name {
            fn client(&self) -> $crate::client::ClientSettings {
                $crate::client::ClientSettings {
                    url: self.url.clone(),
                    secret_file: self.secret_file.clone(),
                    authority: self.authority.clone(),
                    identity: self.identity.clone(),
                    secret: None,
                }
            }

            fn output(&self) -> $crate::output::OutputFormat {
                self.output
            }
        }
    };
}

pub(crate) use operator_arguments;
