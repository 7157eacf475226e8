use crate::cli_error::CliError;

types::plain! {
    /// A subcommand.
    #[derive(Copy, Eq)]
    pub(crate) enum Command {
        Try,
        Entry,
        Agent,
        DirectEntry,
        DirectAgent,
        Emulator,
        Load,
        Check,
        Get,
        Patch,
        Status,
        Drain,
        Explain,
        ExplainPlacement,
    }
}

impl Command {
    pub(crate) const ALL: [Self; 14] = [
        Self::Try,
        Self::Entry,
        Self::Agent,
        Self::DirectEntry,
        Self::DirectAgent,
        Self::Emulator,
        Self::Load,
        Self::Check,
        Self::Get,
        Self::Patch,
        Self::Status,
        Self::Drain,
        Self::Explain,
        Self::ExplainPlacement,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Try => "try",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::DirectEntry => "direct-entry",
            Self::DirectAgent => "direct-agent",
            Self::Emulator => "emulator",
            Self::Load => "load",
            Self::Check => "check",
            Self::Get => "get",
            Self::Patch => "patch",
            Self::Status => "status",
            Self::Drain => "drain",
            Self::Explain => "explain",
            Self::ExplainPlacement => "explain-placement",
        }
    }

    pub(crate) fn summary(self) -> &'static str {
        match self {
            Self::Try => "run an entry, agents and fakes in one process on loopback",
            Self::Entry => "run an entry",
            Self::Agent => "run the agent beside an upstream",
            Self::DirectEntry => "run an entry for jobs that are answered on their submission",
            Self::DirectAgent => "run the agent beside an upstream of such jobs",
            Self::Emulator => "run fakes of the log, of executors and of workers",
            Self::Load => "send jobs at planned times and report",
            Self::Check => "check settings and report every invalid field",
            Self::Get => "print the shared configuration in force",
            Self::Patch => "patch the shared configuration",
            Self::Status => "print the state of an entry or its upstreams",
            Self::Drain => "stop an entry or agent without interrupting requests",
            Self::Explain => "show the path of one request through the logs of several processes",
            Self::ExplainPlacement => "ask an entry where a job would be placed now, and why",
        }
    }

    pub(crate) fn parse(name: &str) -> Result<Self, CliError> {
        let found = Self::ALL.into_iter().find(|command| command.name() == name);
        found.ok_or_else(|| CliError::Usage(format!("unknown command `{name}`; try --help")))
    }
}
