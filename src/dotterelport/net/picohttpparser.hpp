#ifndef DOTTERELPORT_NET_PICOHTTPPARSER_HPP
#define DOTTERELPORT_NET_PICOHTTPPARSER_HPP

#include <cstddef>

#include <sys/types.h>

/// Declarations of the HTTP/1 parser that libh2o exports; Debian ships no header for it.
extern "C" {

struct phr_header {
    const char* name;
    std::size_t name_len;
    const char* value;
    std::size_t value_len;
};

struct phr_chunked_decoder {
    std::size_t bytes_left_in_chunk;
    char consume_trailer;
    char hex_count;
    char state;
};

int phr_parse_request(const char* buffer, std::size_t length, const char** method,
                      std::size_t* method_len, const char** path, std::size_t* path_len,
                      int* minor_version, phr_header* headers, std::size_t* num_headers,
                      std::size_t last_len);

int phr_parse_response(const char* buffer, std::size_t length, int* minor_version, int* status,
                       const char** message, std::size_t* message_len, phr_header* headers,
                       std::size_t* num_headers, std::size_t last_len);

ssize_t phr_decode_chunked(phr_chunked_decoder* decoder, char* buffer, std::size_t* size);
}

#endif
