package org.bronzewheel.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestIdTest {
    @Test
    void textFormParsesToTheSameId() {
        RequestId id = new RequestId("vm-17", Long.MAX_VALUE, 42);

        assertThat(RequestId.parse(id.toString())).hasValue(id);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "vm-1",
                "vm-1.1",
                "vm-1.1.1.1",
                "-vm.1.1",
                "VM.1.1",
                "vm..1",
                "vm.-1.1",
                "vm.zzzzzzzzzzzzz.1",
                "vm/1.1.1"
            })
    void invalidTextIsRejected(String text) {
        assertThat(RequestId.parse(text)).isEmpty();
    }
}
