//! `geraniumshed bench`.

use crate::bench::BENCHES;
use crate::output::ExitStatus;

/// Runs the benchmark named by the first argument.
pub fn run_bench(args: &[String]) -> ExitStatus {
    let Some((name, rest)) = args.split_first() else {
        eprint!("{}", bench_help());
        return ExitStatus::Usage;
    };
    if matches!(name.as_str(), "--help" | "-h") {
        print!("{}", bench_help());
        return ExitStatus::Done;
    }
    if let Some(entry) = BENCHES.iter().find(|entry| entry.name == name) {
        return (entry.run)(rest);
    }
    eprintln!("error: there is no benchmark `{name}`\n{}", bench_help());
    ExitStatus::Usage
}

fn bench_help() -> String {
    let lines = BENCHES
        .iter()
        .map(|entry| format!("  {:<20}{}\n", entry.name, entry.summary));
    format!(
        "geraniumshed bench NAME …\n\nBenchmarks:\n{}",
        lines.collect::<String>()
    )
}
