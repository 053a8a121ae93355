//! The `millpass-experiment` command.

fn main() -> anyhow::Result<()> {
    millpass_experiment::run(&millpass_experiment::options().run())
}
