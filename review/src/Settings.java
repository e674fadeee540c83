import java.util.Map;

/** Values of the settings of a process in a small deployment. */
final class Settings {
    static final Map<String, String> SMALL = Map.of(
        "limits.cpu_share", "0.57",
        "bounds.grace_s", "8",
        "bounds.config_apply_ms", "2000",
        "bounds.drain_ms", "2000",
        "bounds.retry_budget_ratio", "0.2",
        "bounds.retry_slack", "58",
        "bounds.budget_window_s", "10");

    private Settings() {
    }
}
