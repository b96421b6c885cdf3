//! `geraniumshed drain`.

use geraniumshed_model::prelude::TimeSpan;

use super::arguments::operator_arguments;
use super::change::{finish_change, publish_text};
use super::session::run_session;
use super::wait::WaitOptions;
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed drain`.
    DrainArguments {
        #[options(no_short, help = "drain one VM", meta = "VM")]
        vm: Option<String>,
        #[options(no_short, help = "drain all VMs of a rack", meta = "RACK")]
        rack: Option<String>,
        #[options(no_short, help = "drain all VMs of an availability zone", meta = "ZONE")]
        zone: Option<String>,
        #[options(no_short, help = "withdraw the drain, so that the VMs take tasks again")]
        undo: bool,
        #[options(help = "wait until the change is in force everywhere")]
        wait: bool,
        #[options(no_short, help = "timeout of the wait (default 30s)", meta = "SPAN")]
        timeout: Option<TimeSpan>,
    }
}

/// Runs the command.
pub fn execute(arguments: DrainArguments) -> ExitStatus {
    let target = match (&arguments.vm, &arguments.rack, &arguments.zone) {
        (Some(vm), None, None) => ("vm", vm),
        (None, Some(rack), None) => ("rack", rack),
        (None, None, Some(zone)) => ("zone", zone),
        _ => {
            eprintln!("error: name exactly one of --vm, --rack and --zone");
            return ExitStatus::Usage;
        }
    };
    let (kind, name) = target;
    run_session(&arguments, async |client| {
        let options = WaitOptions {
            wait: arguments.wait,
            timeout: arguments.timeout,
        };
        let record = format!("{kind}-{name}");
        if arguments.undo {
            let reply = client.withdraw(&format!("drain/{record}"), None).await?;
            return finish_change(&client, reply, arguments.output, options).await;
        }
        let text = format!("schema: 2\nkind: drain\nname: {record}\nspec:\n  {kind}: {name}\n");
        publish_text(&client, &text, arguments.output, options).await
    })
}
