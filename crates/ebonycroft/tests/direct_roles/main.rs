//! The roles for direct jobs as processes of their own, and the lines that they write.

mod blocked_output;
mod caller_path;
mod cancels;
mod crashed_executor;
mod decisions;
mod direct_system;
mod ending_entry;
mod evacuation;
mod explain_placement;
mod fleet;
mod held_up_request;
mod held_up_start;
mod late_end;
mod line_volume;
mod mute_executors;
mod peers;
mod reload;
mod replaced_agents;
mod role;
mod stopped_runs;
mod suspensions;
mod task_names;
mod templates;
mod unsettled_runs;
