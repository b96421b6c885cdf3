//! Options shared by all commands that call a daemon.

use crate::client::ClientSettings;
use crate::output::OutputFormat;

/// Options of a command that calls a daemon.
pub trait OperatorArguments {
    /// Returns the settings of the client that calls the daemon.
    fn client_settings(&self) -> ClientSettings;

    /// Returns the output format.
    fn output(&self) -> OutputFormat;
}

/// Defines the options struct of a command that calls a daemon: the command's own options, then
/// the shared ones.
///
/// The fields are taken as raw tokens because the derive recognizes `Option` and `Vec` by their
/// spelling.
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
                help = "operator URLs of daemons, comma-separated (or GERANIUMSHED_OPERATOR_URL)",
                meta = "URL"
            )]
            url: Option<String>,
            #[options(
                no_short,
                help = "file with the operators' secret (or GERANIUMSHED_OPERATOR_SECRET)",
                meta = "FILE"
            )]
            secret_file: Option<String>,
            #[options(no_short, help = "PEM file of the CA of the daemons' certificates", meta = "FILE")]
            authority: Option<String>,
            #[options(no_short, help = "PEM file with your certificate and key", meta = "FILE")]
            identity: Option<String>,
            #[options(help = "output format: table or json", meta = "FORM")]
            output: $crate::output::OutputFormat,
        }

        impl $crate::command::arguments::OperatorArguments for $name {
            fn client_settings(&self) -> $crate::client::ClientSettings {
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
