package org.bronzewheel.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.PoolKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationParserTest {
    private static final String INVENTORY =
            """
            regions:
              - name: north
                failureDomains: [north-a, north-b]
            models:
              - name: planner
                version: v1
            pools:
              - name: language
                kind: MODEL_ENGINE
                models: [planner]
                upstreams:
                  - name: language-1
                    vmId: vm-101
                    address: 127.0.0.1:8101
                    failureDomain: north-a
            workspaces:
              - name: gifts
            """;

    private static final String RULES =
            """
            requestClasses:
              - name: urgent
                deadlineMillis: 3000
            pipelines:
              - name: briefing
                stages:
                  - name: generate
                    pool: language
                    model: planner
                    maxTokens: 64
            """;

    private final ConfigurationParser parser = new ConfigurationParser();

    @Test
    void aValidDocumentIsAcceptedWithItsDefaults() {
        Configuration configuration = parser.parse(new ConfigurationDocument(7, INVENTORY, RULES));

        assertThat(configuration.revision()).isEqualTo(7);
        assertThat(configuration.inventory().pool("language").orElseThrow().kind())
                .isEqualTo(PoolKind.MODEL_ENGINE);
        assertThat(configuration.inventory().workspace("gifts").orElseThrow().weight())
                .isEqualTo(1);
        assertThat(configuration.rules().retentionMillis()).isEqualTo(600_000);
        assertThat(configuration.rules().pipeline("briefing").orElseThrow().idempotent()).isTrue();
    }

    static Stream<Arguments> offences() {
        return Stream.of(
                Arguments.of(
                        "inventory", "v1", "v1\n    colour: red", 7, "colour", "one of the fields"),
                Arguments.of("inventory", "MODEL_ENGINE", "MODEL", 9, "MODEL", "ENCODER"),
                Arguments.of(
                        "inventory",
                        "[planner]",
                        "[planner, pilot]",
                        10,
                        "pilot",
                        "name of a model"),
                Arguments.of(
                        "inventory",
                        "127.0.0.1:8101",
                        "localhost:8101",
                        14,
                        "localhost:8101",
                        "an IP number and a port"),
                Arguments.of(
                        "inventory",
                        "127.0.0.1:8101",
                        "127.0.0.1:99999",
                        14,
                        "127.0.0.1:99999",
                        "an IP number and a port"),
                Arguments.of(
                        "inventory",
                        "failureDomain: north-a",
                        "failureDomain: south-a",
                        15,
                        "south-a",
                        "failure domain"),
                Arguments.of("inventory", "gifts", "Gifts!", 17, "Gifts!", "lower-case letters"),
                Arguments.of(
                        "inventory",
                        "gifts",
                        "gifts\n  - name: gifts",
                        18,
                        "gifts",
                        "not used twice"),
                Arguments.of("rules", "3000", "soon", 3, "soon", "a value of type"),
                Arguments.of("rules", "3000", "-1", 3, "-1", "a whole number from 1"),
                Arguments.of(
                        "rules", "pool: language", "pool: speech", 8, "speech", "name of a pool"),
                Arguments.of("rules", "model: planner", "model: pilot", 9, "pilot", "[planner]"),
                Arguments.of("rules", "maxTokens: 64", "maxTokens: 0", 10, "0", "from 1"));
    }

    @ParameterizedTest
    @MethodSource("offences")
    void anOffenceIsRefusedWithItsLineItsValueAndWhatWasExpected(
            String file, String from, String to, int line, String value, String expected) {
        String inventory = file.equals("inventory") ? INVENTORY.replace(from, to) : INVENTORY;
        String rules = file.equals("rules") ? RULES.replace(from, to) : RULES;

        Violation violation = onlyViolation(inventory, rules);

        assertThat(violation.file()).isEqualTo(file);
        assertThat(violation.line()).isEqualTo(line);
        assertThat(violation.column()).isGreaterThan(1);
        assertThat(violation.value()).isEqualTo(value);
        assertThat(violation.expected()).contains(expected);
    }

    @ParameterizedTest
    @MethodSource("malformedTexts")
    void textThatIsNoMappingIsRefusedWithoutAnotherError(String text) {
        InvalidConfigurationException refusal =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> parser.parse(new ConfigurationDocument(1, text, RULES)));

        assertThat(refusal.code()).isEqualTo(ErrorCode.INVALID_CONFIGURATION);
        assertThat(refusal.violations()).isNotEmpty();
    }

    static List<String> malformedTexts() {
        return List.of(
                "",
                "null",
                "- a\n- b",
                "pools: [",
                "pools:\n  -\n",
                "pools:\n  - name: a\n    upstreams:\n      -\n",
                "regions: x",
                "regions:\n  - name: a\n    name: b\n",
                "models: [1]\n",
                "a: &a [*a]\n");
    }

    @Test
    void everyViolationOfBothFilesIsReportedAtOnce() {
        String inventory =
                INVENTORY.replace("[planner]", "[planner, pilot]").replace("gifts", "Gifts");
        String rules = RULES.replace("pool: language", "pool: speech");

        InvalidConfigurationException refusal =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> parser.parse(new ConfigurationDocument(1, inventory, rules)));

        assertThat(refusal.violations()).hasSize(3);
    }

    @Test
    void theDigestTellsApartTextsThatMovedBetweenFiles() {
        String first = new ConfigurationDocument(1, "ab", "c").digest();
        String second = new ConfigurationDocument(1, "a", "bc").digest();

        assertThat(first).isNotEqualTo(second);
    }

    private Violation onlyViolation(String inventory, String rules) {
        InvalidConfigurationException refusal =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> parser.parse(new ConfigurationDocument(1, inventory, rules)));
        assertThat(refusal.violations()).hasSize(1);
        return refusal.violations().get(0);
    }
}
