package org.bronzewheel.relay;

import org.bronzewheel.configuration.ConfigurationDocument;

/** Valid configurations of any size. */
final class ConfigurationTexts {
    private static final String RULES =
            """
            requestClasses:
              - {name: urgent, priority: 0, deadlineMillis: 3000}
            pipelines:
              - name: briefing
                stages:
                  - {name: encode, pool: workers}
            """;

    private ConfigurationTexts() {}

    static ConfigurationDocument document(long revision, int workspaces, int upstreams) {
        StringBuilder inventory =
                new StringBuilder(
                        "regions:\n  - {name: r, failureDomains: [d0, d1, d2, d3, d4]}\n");
        inventory.append("pools:\n  - name: workers\n    kind: ENCODER\n    upstreams:\n");
        for (int i = 0; i < upstreams; i++) {
            String address = "10." + i / 62_500 + "." + i / 250 % 250 + "." + (i % 250 + 1);
            inventory.append(
                    "      - {name: worker-%d, vmId: worker-vm-%d, address: '%s:9000', failureDomain: d%d}%n"
                            .formatted(i, i * 7_919 % 100_003, address, i % 5));
        }
        inventory.append("workspaces:\n");
        for (int i = 0; i < workspaces; i++) {
            inventory.append(
                    "  - {name: workspace-%d, weight: %d, requestsPerSecondLimit: %d}%n"
                            .formatted(i * 7_919 % 100_003, 1 + i % 9, i * 31 % 400));
        }
        return new ConfigurationDocument(revision, inventory.toString(), RULES);
    }

    static ConfigurationDocument invalid(long revision) {
        return new ConfigurationDocument(revision, "regions: []\n", RULES);
    }
}
