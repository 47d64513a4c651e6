package org.bronzewheel.relay;

import java.util.Arrays;
import java.util.Locale;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.document.RevisionedDocument;
import org.junit.jupiter.api.Test;

/**
 * Measures the size of configurations and the time of their check; run by name, not as a part of
 * the tests. The table goes to the standard output.
 */
class ConfigurationMeasurement {
    private static final int[][] SIZES = {{5, 32}, {520, 60}, {1_300, 150}, {5_200, 600}};
    private static final int WARM_UPS = 20;
    private static final int RUNS = 21;
    private static final int MAX_BYTES = 4 << 20;

    public static void main(String[] arguments) {
        System.out.println(
                "| workspaces | upstreams | bytes | compressed bytes | ms to check, first | ms to"
                        + " check, median |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int[] size : SIZES) {
            System.out.println(row(size[0], size[1]));
        }
    }

    @Test
    void printsATable() {
        main(new String[0]);
    }

    private static String row(int workspaces, int upstreams) {
        ConfigurationDocument texts = ConfigurationTexts.document(1, workspaces, upstreams);
        RevisionedDocument document = ConfigurationCodec.toDocument(texts);
        ConfigurationParser parser = new ConfigurationParser();
        double first = checkMillis(document, parser);
        for (int i = 0; i < WARM_UPS; i++) {
            checkMillis(document, parser);
        }
        double[] millis = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            millis[i] = checkMillis(document, parser);
        }
        Arrays.sort(millis);
        return String.format(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.1f | %.1f |",
                workspaces,
                upstreams,
                texts.inventoryText().length() + texts.rulesText().length(),
                document.content().size(),
                first,
                millis[RUNS / 2]);
    }

    private static double checkMillis(RevisionedDocument document, ConfigurationParser parser) {
        long startNanos = System.nanoTime();
        if (ConfigurationCodec.check(document, parser, MAX_BYTES).value().isEmpty()) {
            throw new AssertionError("the measured configuration was refused");
        }
        return (System.nanoTime() - startNanos) / 1e6;
    }
}
