package org.bronzewheel.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.beust.jcommander.ParameterDescription;
import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.telemetry.RouterMetrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds the tables of the configuration page against the code. */
class ConfigurationPageTest {
    private static final String REQUIRED = "required";
    private static final Map<String, List<List<String>>> TABLES = readTables();

    /** Reads the rows of each table, by the heading before it. */
    private static Map<String, List<List<String>>> readTables() {
        Map<String, List<List<String>>> tables = new LinkedHashMap<>();
        String heading = "";
        try {
            for (String line : Files.readAllLines(Path.of("../docs/CONFIGURATION.md"))) {
                if (line.startsWith("#")) {
                    heading = line.replaceFirst("^#+ ", "");
                } else if (line.startsWith("| `")) {
                    String[] cells = line.substring(1, line.length() - 1).split("\\|");
                    tables.computeIfAbsent(heading, h -> new ArrayList<>())
                            .add(Arrays.stream(cells).map(ConfigurationPageTest::plain).toList());
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return tables;
    }

    private static String plain(String cell) {
        return cell.strip().replace("`", "");
    }

    private static List<String> firstCells(String heading) {
        return TABLES.get(heading).stream().map(row -> row.get(0)).toList();
    }

    @Test
    void eachFlagStandsOnThePageWithItsVariableAndDefault() {
        List<List<String>> rows = TABLES.get("Settings of a router");
        List<ParameterDescription> flags = CommandLine.parameters();

        assertThat(rows).hasSize(flags.size());
        for (ParameterDescription flag : flags) {
            String name = flag.getLongestName();
            List<String> row =
                    rows.stream().filter(r -> r.get(0).equals(name)).findFirst().orElseThrow();
            String fallback = String.valueOf(flag.getDefault());
            assertWithMessage(name)
                    .that(row.get(3))
                    .startsWith(fallback.isEmpty() ? "none" : fallback);
            String variable = name.equals("--help") ? "none" : CommandLine.variable(name);
            assertWithMessage(name).that(row.get(1)).isEqualTo(variable);
        }
    }

    @Test
    void theHelpListsEachFlagWithItsVariable() {
        String help = CommandLine.help();

        for (ParameterDescription flag : CommandLine.parameters()) {
            assertThat(help).contains(flag.getLongestName() + " ");
            if (!flag.getLongestName().equals("--help")) {
                assertThat(help).contains(CommandLine.variable(flag.getLongestName()));
            }
        }
    }

    /** Returns one record of each type, parsed from files with no more than the required fields. */
    static Stream<Record> records() {
        String inventory =
                """
                regions: [{name: r1, failureDomains: [fd-1]}]
                models: [{name: m, version: "1"}]
                pools:
                  - name: p
                    upstreams: [{name: u, vmId: v, address: "10.0.0.1:1", failureDomain: fd-1}]
                workspaces: [{name: w}]
                """;
        String rules =
                """
                requestClasses: [{name: c, deadlineMillis: 1}]
                pipelines: [{name: p, stages: [{name: s, pool: p, path: /a}]}]
                """;
        Configuration parsed =
                new ConfigurationParser().parse(new ConfigurationDocument(1, inventory, rules));
        return Stream.of(
                parsed.inventory(),
                parsed.inventory().regions().get(0),
                parsed.inventory().models().get(0),
                parsed.inventory().pools().get(0),
                parsed.inventory().pools().get(0).upstreams().get(0),
                parsed.inventory().workspaces().get(0),
                parsed.rules(),
                parsed.rules().requestClasses().get(0),
                parsed.rules().pipelines().get(0),
                parsed.rules().pipelines().get(0).stages().get(0));
    }

    @ParameterizedTest
    @MethodSource("records")
    void eachFieldOfTheFilesStandsOnThePageWithItsDefault(Record parsed)
            throws ReflectiveOperationException {
        RecordComponent[] components = parsed.getClass().getRecordComponents();
        List<List<String>> rows = TABLES.get(parsed.getClass().getSimpleName());

        assertThat(firstCells(parsed.getClass().getSimpleName()))
                .containsExactlyElementsIn(
                        Arrays.stream(components).map(RecordComponent::getName).toList())
                .inOrder();
        for (int i = 0; i < components.length; i++) {
            String fallback = rows.get(i).get(2);
            Object value = components[i].getAccessor().invoke(parsed);
            if (!fallback.equals(REQUIRED) && !fallback.equals("empty")) {
                assertWithMessage(components[i].getName())
                        .that(value.toString())
                        .isEqualTo(fallback);
            }
        }
    }

    @Test
    void eachMetricStandsOnThePage() throws IllegalAccessException {
        List<String> names = new ArrayList<>();
        for (Field field : RouterMetrics.class.getFields()) {
            names.add(field.get(null).toString().replace('.', '_'));
        }

        assertThat(firstCells("Metrics")).containsExactlyElementsIn(names);
    }
}
