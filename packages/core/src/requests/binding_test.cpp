// Guards against accepting a binding that was altered or that another
// incarnation issued.

#include <arbutusport/requests/binding.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::requests {

class binding_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(binding_test);
    CPPUNIT_TEST(encodes_and_decodes_every_field);
    CPPUNIT_TEST(rejects_altered_bindings_and_wrong_keys);
    CPPUNIT_TEST_SUITE_END();

    const binding sent_{process_id(1), incarnation(2), session_id(3), 4, 5};
    const binding_key key_{1, 2, 3};

public:
    void encodes_and_decodes_every_field() {
        const bytes echo = encode_binding(sent_, key_);
        CPPUNIT_ASSERT_EQUAL(binding_size, echo.size());
        CPPUNIT_ASSERT(*read_binding(echo) == sent_);
        CPPUNIT_ASSERT(verify_binding(echo, key_));
    }

    void rejects_altered_bindings_and_wrong_keys() {
        bytes echo = encode_binding(sent_, key_);
        CPPUNIT_ASSERT(!verify_binding(echo, binding_key{9}));
        for (auto& byte : echo) {
            byte ^= 1;
            CPPUNIT_ASSERT(!verify_binding(echo, key_));
            byte ^= 1;
        }
        echo.pop_back();
        CPPUNIT_ASSERT(!verify_binding(echo, key_));
        CPPUNIT_ASSERT(!read_binding(echo));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(binding_test);

} // namespace arbutusport::requests
