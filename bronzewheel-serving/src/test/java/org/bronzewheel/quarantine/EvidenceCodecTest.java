package org.bronzewheel.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EvidenceCodecTest {
    private static PartEvidence evidence(String id, String life, long atMillis) {
        return new PartEvidence(id, true, List.of(new EngineCrash(life, atMillis, false)));
    }

    private static List<PartEvidence> transfer(PartEvidence evidence)
            throws InvalidProtocolBufferException {
        return EvidenceCodec.decode(EvidenceCodec.encode(List.of(evidence), 200), 1_200);
    }

    @Test
    void decodedCrashesKeepTheirAge() throws InvalidProtocolBufferException {
        assertThat(transfer(evidence("a", "e@1", 150)))
                .containsExactly(evidence("a", "e@1", 1_150));
    }

    @Test
    void anEmptyOrOverlongIdIsSkipped() throws InvalidProtocolBufferException {
        assertThat(transfer(evidence("", "e", 150))).isEmpty();
        assertThat(transfer(evidence("a".repeat(101), "e", 150))).isEmpty();
        assertThat(transfer(evidence("a", "e".repeat(251), 150)).get(0).crashes()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE + 1_000, -100_000_000, Long.MIN_VALUE / 2})
    void anAgeOutsideTheValidRangeIsSkipped(long atMillis) throws InvalidProtocolBufferException {
        assertThat(transfer(evidence("a", "e", atMillis)).get(0).crashes()).isEmpty();
    }

    @Test
    void aMessageOfManyEntriesIsCutOff() throws InvalidProtocolBufferException {
        List<PartEvidence> many = Collections.nCopies(5_000, evidence("a", "e", 150));
        assertThat(EvidenceCodec.decode(EvidenceCodec.encode(many, 200), 200)).hasSize(100);
    }

    @Test
    void otherBytesAreRejected() {
        byte[] bytes = "not evidence".getBytes(StandardCharsets.UTF_8);
        assertThrows(InvalidProtocolBufferException.class, () -> EvidenceCodec.decode(bytes, 200));
    }
}
