//! Supervision of the background tasks of actors.

use kameo::{Actor, actor::ActorRef};

/// Runs a task that an actor depends on.  A panic in the task kills the actor.
pub(crate) fn spawn_for<A: Actor>(
    actor: &ActorRef<A>,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let actor = actor.downgrade();
    tokio::spawn(async move {
        let result = tokio::spawn(task).await;
        if result.is_err_and(|e| e.is_panic())
            && let Some(actor) = actor.upgrade()
        {
            actor.kill();
        }
    });
}
