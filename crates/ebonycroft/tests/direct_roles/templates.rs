//! The settings templates in `deploy/`, filled in as the platform fills them in, are valid
//! settings.

use std::{fs, path::Path, process::Command};

/// Placeholders of the templates and the values that replace them.
const VALUES: [(&str, &str); 18] = [
    ("node|json", r#""edge-a-1""#),
    ("ip", "10.1.0.13"),
    ("zone|json", r#""mid-a""#),
    ("listenAddrs.front|json", r#""10.1.0.13:8161""#),
    ("listenAddrs.ready|json", r#""10.1.0.13:8167""#),
    ("listenAddrs.control|json", r#""10.1.0.13:8166""#),
    ("app|json", r#""10.1.0.13:8080""#),
    ("internalPorts.0", "7720"),
    ("seeds|json", r#"["10.1.0.13:8166","10.2.0.30:8166"]"#),
    ("platform.address|json", r#""10.200.1.7:8169""#),
    ("platform.writesPerS", "800"),
    ("platform.readsPerS", "2000"),
    ("bounds.graceS", "6"),
    ("bounds.maxHoldMs", "1000"),
    ("bounds.stopTimeoutMs", "50"),
    ("limits.memoryMb", "120"),
    ("limits.maxFds", "4100"),
    ("limits.cpuShare", "0.12"),
];

fn fill_in(template: &str) -> String {
    let values = VALUES.iter().chain([&("bounds.resendMs", "1300")]);
    values.fold(template.to_owned(), |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    })
}

types::cases! {
    fn filled_in_template_is_valid(template: &str, role: &str) {
        let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
        let text = fs::read_to_string(deploy.join(template)).expect("the template can be read");
        let filled_in = fill_in(&text);
        assert!(!filled_in.contains("{{"), "a value is missing here: {filled_in}");
        let file = format!("ebonycroft-{role}-{}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, filled_in).expect("settings can be written");
        let output = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
            .args(["check", "--role", role, "--config"])
            .arg(&path)
            .output()
            .expect("the program runs");
        fs::remove_file(&path).expect("the file can be removed");
        assert!(output.status.success(), "{output:?}");
    }
    entry: ("entry.yaml", "direct-entry"),
    agent: ("agent.yaml", "direct-agent"),
}
